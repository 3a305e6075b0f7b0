/**
 * Budget of calls: a token bucket whose callers wait for their token.
 *
 * @module
 */

import type { Clock, Milliseconds } from "@dragonflyledge/model";

/** A token bucket. */
export interface CallBudget {
  /** Time until the call may be sent; undefined if it is over `maxWait`. */
  take(): Milliseconds | undefined;
  /** Charges a call that must not wait, such as a lease renewal. */
  charge(): void;
}

/**
 * Returns a full bucket that gains `perSecond` tokens a second up to `burst`.
 * Tokens may be taken in advance; the caller then waits for its own.
 */
export function createCallBudget(
  { clock, perSecond, burst, maxWait }: {
    clock: Clock;
    perSecond: number;
    burst: number;
    maxWait: Milliseconds;
  },
): CallBudget {
  let tokens = burst;
  let filled = clock.now();

  function refill(): void {
    const now = clock.now();
    tokens = Math.min(burst, tokens + (now - filled) * perSecond / 1000);
    filled = now;
  }

  return {
    take() {
      refill();
      const wait = Math.max(0, (1 - tokens) * 1000 / perSecond);
      if (wait > maxWait) return undefined;
      tokens--;
      return wait;
    },
    charge() {
      refill();
      tokens--;
    },
  };
}
