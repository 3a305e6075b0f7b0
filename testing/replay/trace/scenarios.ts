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

function jobs(changes: Partial<JobLoad> = {}): JobLoad {
  return {
    small: 16,
    large: 2,
    until: 40_000,
    owners: [20_000],
    misjudge: (random) => 0.8 + 0.4 * random(),
    ...changes,
  };
}

function scenario(name: string, changes: Partial<Scenario>): Scenario {
  return {
    name,
    duration: MINUTE,
    peak: [0, MINUTE],
    urgent: () => 30,
    deferrable: () => 5,
    length: 1,
    distort: (runTime) => runTime,
    jobs: jobs(),
    steps: () => [],
    ...changes,
  };
}

/** Ten times the demand within three seconds, for 25 seconds. */
const SURGE: [Milliseconds, Milliseconds] = [25_000, 50_000];

function surge(at: Milliseconds): number {
  const [start, end] = SURGE;
  if (at < start || at >= end) return 12;
  const rise = Math.min(1, (at - start + 1000) / 3000);
  return 12 + 108 * rise;
}

/** Cancels a third of the requests and jobs of ten seconds within one. */
function cancelWave(trace: Trace, random: Random): TraceStep[] {
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

/** All scenarios. */
export const scenarios: readonly Scenario[] = [
  scenario("steady", {}),
  scenario("surge", { peak: SURGE, urgent: surge, deferrable: () => 12 }),
  scenario("floor", {
    peak: [20_000, MINUTE],
    urgent: (at) => at < 20_000 ? 0 : 40,
    deferrable: (at) => at < 40_000 ? 9 : 0,
    length: 3,
  }),
  scenario("gangs", {
    urgent: () => 10,
    deferrable: () => 2,
    jobs: jobs({
      small: 120,
      large: 6,
      until: 50_000,
      owners: [25_000, 45_000],
    }),
  }),
  scenario("sizes", {
    deferrable: () => 6,
    distort: (runTime, random) => {
      const drawn = random();
      return drawn < 0.1 ? runTime * 10 : drawn < 0.2 ? runTime / 10 : runTime;
    },
    jobs: jobs({ misjudge: (random) => random() < 0.5 ? 10 : 0.1 }),
  }),
  scenario("stragglers", {
    distort: (runTime, random) => random() < 0.02 ? runTime * 30 : runTime,
  }),
  scenario("failing", {
    peak: [15_000, 40_000],
    steps: () => [
      { at: 15_000, kind: "fail", target: 3 },
      { at: 40_000, kind: "heal", target: 3 },
    ],
  }),
  scenario("cancels", {
    urgent: () => 40,
    deferrable: () => 14,
    steps: cancelWave,
    jobs: jobs({ small: 30 }),
  }),
  scenario("leaving", {
    steps: () => [
      { at: 15_000, kind: "leave", target: 1 },
      { at: 25_000, kind: "leave", target: 6 },
    ],
  }),
];
