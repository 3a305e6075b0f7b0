/**
 * Generator of traces. Recorded traces change only if it is run again.
 *
 * @module
 */

import { createRandom } from "@dragonflyledge/model";
import type { Milliseconds, Random } from "@dragonflyledge/model";
import type { Deployment } from "../deployment.ts";
import { generateJobs } from "./generate_jobs.ts";
import type { JobLoad } from "./generate_jobs.ts";
import type { Trace, TraceRequest, TraceStep } from "./trace.ts";

/** What a scenario consists of. Rates are events a second. */
export interface Scenario {
  name: string;
  duration: Milliseconds;
  peak: [Milliseconds, Milliseconds];
  urgentRate: (at: Milliseconds) => number;
  deferrableRate: (at: Milliseconds) => number;
  /** Factor on the median run time of deferrable requests. */
  deferrableTimeFactor: number;
  /** Changes the run time of one request. */
  distortRunTime: (runTime: Milliseconds, random: Random) => Milliseconds;
  jobs: JobLoad;
  steps: (trace: Trace, random: Random) => TraceStep[];
}

const URGENT_MEDIANS: readonly Milliseconds[] = [250, 600];
const DEFERRABLE_MEDIANS: readonly Milliseconds[] = [2500, 8000];
const RUN_TIME_SPREAD = 0.5;
/** Share of requests of the larger class of each kind. */
const FIRST_CLASS_SHARE = 0.75;
const IDEMPOTENT_SHARE = 0.6;
const CLIENTS_PER_TEAM = 24;
const RATE_INTERVAL: Milliseconds = 1000;

/** Generates the trace of a scenario. */
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

/** Poisson arrivals with a rate that is constant within each second. */
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
  const main = random() < FIRST_CLASS_SHARE ? 0 : 1;
  const workClass = classes[main] ?? classes[0]!;
  const medians = urgent ? URGENT_MEDIANS : DEFERRABLE_MEDIANS;
  const median = medians[main]! * (urgent ? 1 : scenario.deferrableTimeFactor);
  const runTime = median * Math.exp(RUN_TIME_SPREAD * drawNormal(random));
  const index = pickTeam(deployment, random);
  return {
    at,
    team: configuration.teams[index]!.name,
    class: workClass.name,
    runTime: Math.round(scenario.distortRunTime(runTime, random)),
    deadline: workClass.defaultDeadline,
    idempotent: random() < IDEMPOTENT_SHARE,
    client: index * CLIENTS_PER_TEAM + Math.floor(random() * CLIENTS_PER_TEAM),
  };
}

/** Teams send in proportion to their weights, so that a few are large. */
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

/** A standard normal number (Box and Muller). */
function drawNormal(random: Random): number {
  return Math.sqrt(-2 * Math.log(1 - random())) *
    Math.cos(2 * Math.PI * random());
}
