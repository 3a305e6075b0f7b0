/**
 * How fast each worker runs tasks, compared with the rest of the fleet.
 *
 * Load pattern: gangs of tasks of a few seconds end with their slowest member,
 * on workers whose rates lie persistently between 0.6 and 1.7. Each worker
 * shows its rate by the progress of all that it runs, within seconds.
 *
 * @module
 */

import type { Milliseconds } from "@dragonflyledge/model";
import { createDifferenceTest } from "./differences.ts";
import type { RateEstimate, RateEstimator } from "./rate_estimator.ts";
import { createSamples } from "./progress_samples.ts";
import { createRateModel } from "./rate_model.ts";
import { createSlowdowns } from "./slowdowns.ts";
import type { Belief } from "./unknowns.ts";
import { WORKER_SD } from "./worker_effects.ts";

/** Interval at which the workers are compared with each other. */
const COMPARISON_INTERVAL: Milliseconds = 500;
/** Estimate for a worker that has shown no progress. */
const UNKNOWN: RateEstimate = {
  rate: 1,
  low: Math.exp(-WORKER_SD),
  high: Math.exp(WORKER_SD),
};
/** Estimate for each worker of a fleet of equal ones. */
const EVEN: RateEstimate = { rate: 1, low: 1, high: 1 };

/** Creates the rates of a fleet of which nothing is known. */
export function createWorkerRates(): RateEstimator {
  const model = createRateModel();
  const samples = createSamples(model);
  const slowdowns = createSlowdowns({ model, samples });
  const differences = createDifferenceTest();
  let median = 0;
  let comparedAt = -Infinity;

  function beliefOf(agent: string): Belief | undefined {
    const belief = model.beliefOf(agent);
    return belief && { ...belief, mean: belief.mean - median };
  }

  return {
    differ: () => differences.found,
    rateOf: (agent) => {
      if (!differences.found) return EVEN;
      const belief = beliefOf(agent);
      const factor = slowdowns.factorOf(agent);
      const { rate, low, high } = belief ? estimateFrom(belief) : UNKNOWN;
      return { rate: factor * rate, low: factor * low, high: factor * high };
    },
    observe: (progress) => {
      const intervals = samples.read(progress);
      const usable = slowdowns.judge(progress, intervals);
      if (usable) samples.add(intervals, progress.now);
    },
    observeDone: samples.addDone,
    advance: (now) => {
      model.advance(now);
      slowdowns.expire(now);
      if (now - comparedAt < COMPARISON_INTERVAL) return;
      comparedAt = now;
      differences.update(model.likelihoods(), now);
      median = medianOf(model.means());
    },
    recover: model.recover,
    forget: (agent) => {
      model.forget(agent);
      slowdowns.forget(agent);
    },
    beliefOf,
    paceOf: (run) => {
      const actual = samples.speedOf(run);
      if (actual === undefined) return undefined;
      const expected = model.expect(run.step, run.agent);
      if (!expected) return { actual };
      const { mean, variance } = expected;
      return { actual, expected: { mean: Math.exp(mean), variance } };
    },
    isSlowed: (agent) => slowdowns.factorOf(agent) < 1,
  };
}

function estimateFrom({ mean, variance }: Belief): RateEstimate {
  const deviation = Math.sqrt(variance);
  return {
    rate: Math.exp(mean),
    low: Math.exp(mean - deviation),
    high: Math.exp(mean + deviation),
  };
}

function medianOf(values: number[]): number {
  const sorted = Float64Array.from(values).sort();
  return sorted[Math.floor(sorted.length / 2)] ?? 0;
}
