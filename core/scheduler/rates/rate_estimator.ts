/**
 * What the scheduler knows and learns of the rates of workers.
 *
 * @module
 */

import type { Milliseconds } from "@dragonflyledge/model";
import type { Run, Worker } from "../state.ts";
import type { Belief } from "./unknowns.ts";

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
