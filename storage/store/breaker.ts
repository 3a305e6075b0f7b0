/**
 * Circuit breaker: stops calls to a failing store, and sends single calls as
 * probes until one succeeds.
 *
 * @module
 */

import type { Clock, Milliseconds, Random } from "@dragonflyledge/model";

/**
 * State of the breaker: closed lets all calls pass, open refuses them, and
 * half-open refuses them while one probe is under way.
 */
export type BreakerState = "closed" | "open" | "half-open";

/** Decides which calls are sent. */
export interface Breaker {
  state(): BreakerState;
  /**
   * Whether a call may be sent now. If true, the caller sends it and reports
   * its end with `succeed` or `fail`. In the open state the call is the probe.
   */
  admit(): boolean;
  /** Whether `admit` would return false. Does not start a probe. */
  refuses(): boolean;
  /** Reports a call that reached the store. */
  succeed(): void;
  /** Reports a call that the store did not answer. */
  fail(): void;
  /** Time at which a probe last closed the breaker; -Infinity if none has. */
  closedAt(): Milliseconds;
}

/**
 * Creates a closed breaker.
 *
 * @param fields.failureLimit number of consecutive failures that opens the
 * breaker; default 5
 * @param fields.openTime delay before the first probe; default 500 ms. It
 * doubles with each failed probe, and is shortened at random by up to half, so
 * that processes do not probe at the same moment
 * @param fields.openLimit maximum delay between probes; default 4 s
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
      // In the open state, the call was sent before the breaker opened, so its
      // success does not show that the store answers now.
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
