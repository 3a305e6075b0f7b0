/**
 * Rate limit for calls: a token bucket whose callers wait for their token.
 *
 * @module
 */

import type { Clock, Milliseconds } from "@dragonflyledge/model";

/** Token bucket that limits the rate of calls. */
export interface CallBudget {
  /**
   * Takes a token and returns the time in milliseconds until the call may be
   * sent. Takes none and returns undefined if that is longer than `maxWait`.
   */
  take(): Milliseconds | undefined;
  /** Takes a token for a call that must not wait, such as a lease renewal. */
  charge(): void;
}

/**
 * Creates a full bucket that gains `perSecond` tokens a second up to `burst`.
 * If the bucket is empty, callers take tokens in advance and wait until theirs
 * is due.
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
  let lastRefillAt = clock.now();

  function refill(): void {
    const now = clock.now();
    tokens = Math.min(burst, tokens + (now - lastRefillAt) * perSecond / 1000);
    lastRefillAt = now;
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
