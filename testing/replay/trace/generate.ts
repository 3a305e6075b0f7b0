/**
 * Generates traces from scenarios. The recorded traces are files; a change
 * here affects them only when they are generated again.
 *
 * @module
 */

import { createRandom } from "@dragonflyledge/model";
import type { Milliseconds, Random } from "@dragonflyledge/model";
import type { Deployment } from "../deployment.ts";
import { generateJobs } from "./generate_jobs.ts";
import type { JobLoad } from "./generate_jobs.ts";
import type { Trace, TraceRequest, TraceStep } from "./trace.ts";

/**
 * Description of a workload from which a trace is generated. Rates are
 * requests per second; times are counted from the start of the trace.
 */
export interface Scenario {
  name: string;
  duration: Milliseconds;
  /** Start and end of the peak, or of the whole trace. */
  peak: [Milliseconds, Milliseconds];
  /** Arrival rate of urgent requests at a time. */
  urgentRate: (at: Milliseconds) => number;
  /** Arrival rate of deferrable requests at a time. */
  deferrableRate: (at: Milliseconds) => number;
  /** Factor by which the median run time of deferrable requests is scaled. */
  deferrableTimeFactor: number;
  /** Returns the run time of a request, given the one that was drawn. */
  distortRunTime: (runTime: Milliseconds, random: Random) => Milliseconds;
  jobs: JobLoad;
  /** Creates the cancellations and worker changes, in any order. */
  steps: (trace: Trace, random: Random) => TraceStep[];
}

/** Median run times of the first and the second urgent class. */
const URGENT_MEDIANS: readonly Milliseconds[] = [250, 600];
/** Median run times of the first and the second deferrable class. */
const DEFERRABLE_MEDIANS: readonly Milliseconds[] = [2500, 8000];
/** Standard deviation of the logarithm of run times (log-normal). */
const RUN_TIME_SPREAD = 0.5;
/** Share of the urgent, or deferrable, requests that are of the first class. */
const FIRST_CLASS_SHARE = 0.75;
const IDEMPOTENT_SHARE = 0.6;
const CLIENTS_PER_TEAM = 24;
/** Interval within which the arrival rate is constant. */
const RATE_INTERVAL: Milliseconds = 1000;

/**
 * Generates the trace of a scenario for a deployment. Equal arguments give
 * an equal trace.
 */
export function generateTrace(fields: {
  scenario: Scenario;
  deployment: Deployment;
  seed: number;
}): Trace {
  const { scenario, deployment, seed } = fields;
  const random = createRandom(seed);
  const requests: TraceRequest[] = [];
  for (const urgent of [true, false]) {
    const rate = urgent ? scenario.urgentRate : scenario.deferrableRate;
    for (const at of generateArrivals(rate, scenario.duration, random)) {
      requests.push(createRequest(fields, urgent, at, random));
    }
  }
  requests.sort((left, right) => left.at - right.at);
  const trace: Trace = {
    name: `${deployment.name}_${scenario.name}`,
    scenario: scenario.name,
    deployment: deployment.name,
    seed,
    duration: scenario.duration,
    peak: scenario.peak,
    requests,
    jobs: generateJobs({ load: scenario.jobs, deployment, random }),
    steps: [],
  };
  trace.steps = scenario.steps(trace, random).sort((a, b) => a.at - b.at);
  return trace;
}

/**
 * Draws the times of Poisson arrivals whose rate is constant within each
 * interval of `RATE_INTERVAL`.
 */
function generateArrivals(
  rate: (at: Milliseconds) => number,
  duration: Milliseconds,
  random: Random,
): Milliseconds[] {
  const times: Milliseconds[] = [];
  for (let start = 0; start < duration; start += RATE_INTERVAL) {
    const perMillisecond = rate(start) / 1000;
    if (perMillisecond <= 0) continue;
    let at = start - Math.log(1 - random()) / perMillisecond;
    while (at < start + RATE_INTERVAL) {
      times.push(Math.round(at));
      at -= Math.log(1 - random()) / perMillisecond;
    }
  }
  return times;
}

function createRequest(
  fields: { scenario: Scenario; deployment: Deployment },
  urgent: boolean,
  at: Milliseconds,
  random: Random,
): TraceRequest {
  const { scenario, deployment } = fields;
  const { configuration } = deployment;
  const classes = configuration.classes.filter((each) =>
    each.urgent === urgent
  );
  const classIndex = random() < FIRST_CLASS_SHARE ? 0 : 1;
  const workClass = classes[classIndex] ?? classes[0]!;
  const medians = urgent ? URGENT_MEDIANS : DEFERRABLE_MEDIANS;
  const median = medians[classIndex]! *
    (urgent ? 1 : scenario.deferrableTimeFactor);
  const runTime = median * Math.exp(RUN_TIME_SPREAD * drawNormal(random));
  const teamIndex = pickTeam(deployment, random);
  return {
    at,
    team: configuration.teams[teamIndex]!.name,
    class: workClass.name,
    runTime: Math.round(scenario.distortRunTime(runTime, random)),
    deadline: workClass.defaultDeadline,
    idempotent: random() < IDEMPOTENT_SHARE,
    client: teamIndex * CLIENTS_PER_TEAM +
      Math.floor(random() * CLIENTS_PER_TEAM),
  };
}

/**
 * Draws the index of a team in proportion to the weights, so that a few
 * teams send most of the requests.
 */
function pickTeam(deployment: Deployment, random: Random): number {
  const { teams } = deployment.configuration;
  const total = teams.reduce((sum, team) => sum + team.weight, 0);
  let drawn = random() * total;
  for (let index = 0; index < teams.length; index++) {
    drawn -= teams[index]!.weight;
    if (drawn < 0) return index;
  }
  return teams.length - 1;
}

/** Draws a number of the standard normal distribution (Box-Muller). */
function drawNormal(random: Random): number {
  return Math.sqrt(-2 * Math.log(1 - random())) *
    Math.cos(2 * Math.PI * random());
}
