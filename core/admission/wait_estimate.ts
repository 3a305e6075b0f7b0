/**
 * Estimate of the wait in the queue, for early refusal of requests that can't
 * meet their deadline.
 *
 * @module
 */

import type { Milliseconds } from "@dragonflyledge/model";
import { SECOND } from "@dragonflyledge/model";
import type { Estimate } from "./run_time_estimates.ts";

/** Time over which freed slots are counted, in buckets. */
const RATE_WINDOW = 2 * SECOND;
const BUCKET_COUNT = 10;
const BUCKET_DURATION = RATE_WINDOW / BUCKET_COUNT;
/** With fewer freed slots in the window, their rate is not used. */
const MIN_RATE_SAMPLES = 4;
/**
 * In each such time, one request that would not have to wait is accepted though
 * its run time seems too long for its deadline.
 */
const PROBE_INTERVAL = 1 * SECOND;

/** Estimates waits from how fast slots of one service become free. */
export interface WaitEstimate {
  /** Records that a slot became free. */
  recordFreedSlot(now: Milliseconds): void;
  /**
   * Returns the expected wait of a new request, or undefined if neither freed
   * slots nor run times allow an estimate.
   */
  wait(fields: {
    /** Requests that are served before. */
    ahead: number;
    freeSlots: number;
    /** Requests that are running. */
    running: number;
    /** Run time of the work, if known. */
    estimate: Estimate | undefined;
    now: Milliseconds;
  }): Milliseconds | undefined;
  /**
   * Whether to refuse a request because it would not be done by its deadline.
   * Without an estimate of its wait and run time, none is refused.
   */
  unreachable(fields: {
    wait: Milliseconds | undefined;
    estimate: Estimate | undefined;
    /** Time until the deadline. */
    remaining: Milliseconds;
    now: Milliseconds;
  }): boolean;
}

/** Creates an estimate without observations; it refuses nothing. */
export function createWaitEstimate(): WaitEstimate {
  const buckets = new Array<number>(BUCKET_COUNT).fill(0);
  let newest = 0;
  let probedAt = -Infinity;
  const advance = (now: Milliseconds) => {
    const current = Math.floor(now / BUCKET_DURATION);
    const steps = Math.min(current - newest, BUCKET_COUNT);
    for (let step = 0; step < steps; step++) {
      buckets[(current - step) % BUCKET_COUNT] = 0;
    }
    newest = Math.max(newest, current);
  };
  const rate = (now: Milliseconds): number | undefined => {
    advance(now);
    const freed = buckets.reduce((sum, bucket) => sum + bucket, 0);
    return freed < MIN_RATE_SAMPLES ? undefined : freed / RATE_WINDOW;
  };
  return {
    recordFreedSlot(now) {
      advance(now);
      buckets[newest % BUCKET_COUNT]! += 1;
    },
    wait({ ahead, freeSlots, running, estimate, now }) {
      if (ahead < freeSlots) return 0;
      // Running work and its run time give a rate even before any slot is
      // freed. The higher rate is used, since a refusal can't be taken back.
      const busy = estimate === undefined
        ? undefined
        : running / Math.max(estimate.median, 1);
      const observed = Math.max(rate(now) ?? 0, busy ?? 0);
      if (observed === 0) return undefined;
      return (ahead - freeSlots + 1) / observed;
    },
    unreachable({ wait, estimate, remaining, now }) {
      if (wait === undefined || estimate === undefined) return false;
      const runTime = wait > 0 ? estimate.median : estimate.lower;
      if (wait + runTime <= remaining) return false;
      if (wait > 0 || now - probedAt < PROBE_INTERVAL) return true;
      // Accept one request to observe its run time. Otherwise an outdated
      // estimate would refuse such work until its samples expire, for minutes.
      probedAt = now;
      return false;
    },
  };
}
