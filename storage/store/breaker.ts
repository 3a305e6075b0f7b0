/**
 * Circuit breaker: stops calls to a store that fails, and probes it.
 *
 * @module
 */

import type { Clock, Milliseconds, Random } from "@dragonflyledge/model";

/** State of the breaker. Half-open means that one probe is under way. */
export type BreakerState = "closed" | "open" | "half-open";

/** Decides which calls are sent. */
export interface Breaker {
  state(): BreakerState;
  /** Whether a call may be sent now; it then reports `succeed` or `fail`. */
  admit(): boolean;
  /** Whether `admit` would refuse, without starting a probe. */
  refuses(): boolean;
  succeed(): void;
  fail(): void;
  /** Time at which the breaker last closed; -Infinity before. */
  closedAt(): Milliseconds;
}

/**
 * Returns a closed breaker.
 *
 * @param fields.failureLimit consecutive failures that open it
 * @param fields.openTime wait before the first probe; doubles with each failed
 * one up to `openLimit`, and is shortened at random by up to half, so that
 * processes do not probe together
 */
export function createBreaker(
  { clock, random, failureLimit = 5, openTime = 500, openLimit = 4000 }: {
    clock: Clock;
    random: Random;
    failureLimit?: number;
    openTime?: Milliseconds;
    openLimit?: Milliseconds;
  },
): Breaker {
  let state: BreakerState = "closed";
  let failures = 0;
  let wait = openTime;
  let probeAt = 0;
  let closedAt = -Infinity;

  function open(): void {
    state = "open";
    probeAt = clock.now() + wait * (1 - random() / 2);
    wait = Math.min(openLimit, wait * 2);
  }

  const refuses = () =>
    state === "half-open" || (state === "open" && clock.now() < probeAt);

  return {
    state: () => state,
    refuses,
    admit() {
      if (refuses()) return false;
      if (state === "open") state = "half-open";
      return true;
    },
    succeed() {
      failures = 0;
      // A call that was sent before the breaker opened proves nothing.
      if (state !== "half-open") return;
      state = "closed";
      wait = openTime;
      closedAt = clock.now();
    },
    fail() {
      if (state === "half-open") return open();
      if (state === "closed" && ++failures >= failureLimit) open();
    },
    closedAt: () => closedAt,
  };
}
