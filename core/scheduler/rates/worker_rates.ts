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
import type { Run, Worker } from "../state.ts";
import { createDifferenceTest } from "./differences.ts";
import { createSamples } from "./progress_samples.ts";
import { createRateModel } from "./rate_model.ts";
import { createSlowdowns } from "./slowdowns.ts";
import type { Belief } from "./unknowns.ts";
import { WORKER_SD } from "./worker_effects.ts";

/** What is known of the rate of one worker. */
export interface RateEstimate {
  /** Expected rate; 1 is that of the fleet's median worker. */
  rate: number;
  /** Bounds of one standard deviation around `rate`. */
  low: number;
  high: number;
}

/** Rates of all workers, by the agent on the worker's machine. */
export interface WorkerRates {
  /** Whether the workers differ by more than chance explains. */
  differ(): boolean;
  /**
   * Estimate for the worker beside the agent; a wide one if it is unknown. All
   * rates are 1 while the workers don't differ. A transient slow-down counts.
   */
  rateOf(agent: string): RateEstimate;
}

/** A worker whose `runs` hold the percentages of its latest list. */
export interface ListedProgress {
  worker: Worker;
  /** All workers by their keys. */
  workers: ReadonlyMap<string, Worker>;
  /** Worker's clock when it made the list; undefined if it is not known. */
  clock?: Milliseconds;
  now: Milliseconds;
}

/** Progress of a run, in percent a second. */
export interface Pace {
  actual: number;
  /**
   * What its step and the persistent rate of its worker let expect, and the
   * variance of the logarithm of that; undefined if that is not known.
   */
  expected?: { mean: number; variance: number };
}

/** Learns the rates of all workers from the progress that they list. */
export interface RateEstimator extends WorkerRates {
  /** Takes in the progress that a report shows. */
  observe(progress: ListedProgress): void;
  /** Takes in that a run ended as done, in a list made at `clock`. */
  observeDone(
    run: Run,
    clock: Milliseconds | undefined,
    now: Milliseconds,
  ): void;
  /** Brings the estimates up to date; to be called at each tick. */
  advance(now: Milliseconds): void;
  /** Takes over what an earlier leader knew of the worker beside the agent. */
  recover(agent: string, belief: Belief): void;
  /** Forgets the worker beside the agent. */
  forget(agent: string): void;
  /**
   * Logarithm of the persistent rate and its variance; undefined if nothing is
   * known. It does not depend on `differ`.
   */
  beliefOf(agent: string): Belief | undefined;
  /** Whether the worker is transiently slow. */
  isSlowed(agent: string): boolean;
  /** Progress of a run; undefined before its worker has shown any. */
  paceOf(run: Run): Pace | undefined;
}

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
