/**
 * Scenarios of the recorded traces.
 *
 * @module
 */

import type { Milliseconds, Random } from "@dragonflyledge/model";
import type { Scenario } from "./generate.ts";
import type { JobLoad } from "./generate_jobs.ts";
import type { Trace, TraceStep } from "./trace.ts";

const MINUTE: Milliseconds = 60_000;

/** Creates a job load from the defaults and the given changes. */
function createJobLoad(changes: Partial<JobLoad> = {}): JobLoad {
  return {
    smallJobs: 16,
    largeGangs: 2,
    until: 40_000,
    ownerJobTimes: [20_000],
    drawDeclaredFactor: (random) => 0.8 + 0.4 * random(),
    ...changes,
  };
}

/** Creates a scenario from the defaults and the given changes. */
function createScenario(name: string, changes: Partial<Scenario>): Scenario {
  return {
    name,
    duration: MINUTE,
    peak: [0, MINUTE],
    urgentRate: () => 30,
    deferrableRate: () => 5,
    deferrableTimeFactor: 1,
    distortRunTime: (runTime) => runTime,
    jobs: createJobLoad(),
    steps: () => [],
    ...changes,
  };
}

/**
 * Span of the surge: the demand of urgent requests rises tenfold within three
 * seconds and stays there until the end of the 25 seconds.
 */
const SURGE_SPAN: [Milliseconds, Milliseconds] = [25_000, 50_000];

/** Returns the rate of urgent requests, per second, of the surge scenario. */
function surgeRate(at: Milliseconds): number {
  const [start, end] = SURGE_SPAN;
  if (at < start || at >= end) return 12;
  const rise = Math.min(1, (at - start + 1000) / 3000);
  return 12 + 108 * rise;
}

/**
 * Cancels, within one second, a third of the requests and jobs that were
 * sent in the ten seconds before.
 */
function cancelRecentWork(trace: Trace, random: Random): TraceStep[] {
  const start = 30_000;
  const recent = (at: Milliseconds) => at > start - 10_000 && at < start;
  const steps: TraceStep[] = [];
  const cancel = (
    kind: "cancelRequest" | "cancelJob",
    list: { at: Milliseconds }[],
  ) =>
    list.forEach((each, target) => {
      if (!recent(each.at) || random() > 0.33) return;
      steps.push({ at: start + Math.round(random() * 1000), kind, target });
    });
  cancel("cancelRequest", trace.requests);
  cancel("cancelJob", trace.jobs);
  return steps;
}

/** All scenarios. Each is recorded as a trace for each deployment. */
export const scenarios: readonly Scenario[] = [
  createScenario("steady", {}),
  createScenario("surge", {
    peak: SURGE_SPAN,
    urgentRate: surgeRate,
    deferrableRate: () => 12,
  }),
  createScenario("floor", {
    peak: [20_000, MINUTE],
    urgentRate: (at) => at < 20_000 ? 0 : 40,
    deferrableRate: (at) => at < 40_000 ? 9 : 0,
    deferrableTimeFactor: 3,
  }),
  createScenario("gangs", {
    urgentRate: () => 10,
    deferrableRate: () => 2,
    jobs: createJobLoad({
      smallJobs: 120,
      largeGangs: 6,
      until: 50_000,
      ownerJobTimes: [25_000, 45_000],
    }),
  }),
  createScenario("sizes", {
    deferrableRate: () => 6,
    distortRunTime: (runTime, random) => {
      const drawn = random();
      return drawn < 0.1 ? runTime * 10 : drawn < 0.2 ? runTime / 10 : runTime;
    },
    jobs: createJobLoad({
      drawDeclaredFactor: (random) => random() < 0.5 ? 10 : 0.1,
    }),
  }),
  createScenario("stragglers", {
    distortRunTime: (runTime, random) =>
      random() < 0.02 ? runTime * 30 : runTime,
  }),
  createScenario("failing", {
    peak: [15_000, 40_000],
    steps: () => [
      { at: 15_000, kind: "fail", target: 3 },
      { at: 40_000, kind: "heal", target: 3 },
    ],
  }),
  createScenario("cancels", {
    urgentRate: () => 40,
    deferrableRate: () => 14,
    steps: cancelRecentWork,
    jobs: createJobLoad({ smallJobs: 30 }),
  }),
  createScenario("leaving", {
    steps: () => [
      { at: 15_000, kind: "leave", target: 1 },
      { at: 25_000, kind: "leave", target: 6 },
    ],
  }),
];
