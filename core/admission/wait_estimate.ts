/**
 * Early refusal of requests that cannot meet their deadline.
 *
 * @module
 */

import type { Milliseconds } from "@dragonflyledge/model";
import { SECOND } from "@dragonflyledge/model";
import type { Estimate } from "./run_time_estimates.ts";

/** Length of the window over which freed slots are counted. */
const RATE_WINDOW = 2 * SECOND;
const BUCKET_COUNT = 10;
const BUCKET_DURATION = RATE_WINDOW / BUCKET_COUNT;
/** Fewer freed slots in the window do not give a rate. */
const MIN_RATE_SAMPLES = 4;
/** One request in this time is let through although it seems too late. */
const PROBE_INTERVAL = 1 * SECOND;

/** Observes how fast slots become free for one service. */
export interface WaitEstimate {
  recordFreedSlot(now: Milliseconds): void;
  /** Expected wait behind `ahead` requests, or undefined if unknown. */
  wait(fields: {
    ahead: number;
    freeSlots: number;
    running: number;
    estimate: Estimate | undefined;
    now: Milliseconds;
  }): Milliseconds | undefined;
  /** Whether to refuse work that would start after `wait`. */
  unreachable(fields: {
    wait: Milliseconds | undefined;
    estimate: Estimate | undefined;
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
      // Slots in use and their run time give a rate even before any is freed;
      // the higher rate wins, since a refusal cannot be taken back.
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
      // Without a probe, an outdated run time would refuse work for minutes.
      probedAt = now;
      return false;
    },
  };
}
