/**
 * Budget that limits the retries of one entry to a share of its first attempts,
 * so that retries don't multiply the load of an outage.
 *
 * @module
 */

import type { Milliseconds, Random } from "@dragonflyledge/model";
import { RETRY_RATIO, RETRY_RESERVE, SECOND } from "@dragonflyledge/model";

/** Attempts and retries of the last 10 s are counted in buckets of 1 s. */
const BUCKET_DURATION = 1 * SECOND;
const BUCKET_COUNT = 10;
/** Longest wait, in milliseconds, before the first retry of a request. */
const FIRST_BACKOFF = 20;
/** The wait doubles with each retry up to this limit. */
const BACKOFF_LIMIT = 2 * SECOND;

/** Budget of retries, shared by all requests of an entry. */
export interface RetryBudget {
  /** Counts the first attempt of a request, which adds to the budget. */
  recordFirstAttempt(now: Milliseconds): void;
  /**
   * Takes one retry from the budget of the last 10 s, and returns whether it
   * allowed one.
   */
  tryTake(now: Milliseconds): boolean;
  /**
   * Returns the time to wait before retry number `retry`, counted from 1: half
   * to the whole of a wait that doubles with each retry, at random.
   */
  backoff(retry: number, random: Random): Milliseconds;
}

/** Creates a budget that allows `RETRY_RESERVE` retries without attempts. */
export function createRetryBudget(): RetryBudget {
  const first = new Array<number>(BUCKET_COUNT).fill(0);
  const retries = new Array<number>(BUCKET_COUNT).fill(0);
  let newest = 0;
  const advance = (now: Milliseconds) => {
    const current = Math.floor(now / BUCKET_DURATION);
    const steps = Math.min(current - newest, BUCKET_COUNT);
    for (let step = 0; step < steps; step++) {
      first[(current - step) % BUCKET_COUNT] = 0;
      retries[(current - step) % BUCKET_COUNT] = 0;
    }
    newest = Math.max(newest, current);
  };
  const sum = (counts: number[]) => counts.reduce((a, b) => a + b, 0);
  return {
    recordFirstAttempt(now) {
      advance(now);
      first[newest % BUCKET_COUNT]! += 1;
    },
    tryTake(now) {
      advance(now);
      const allowed = RETRY_RESERVE + RETRY_RATIO * sum(first);
      if (sum(retries) + 1 > allowed) return false;
      retries[newest % BUCKET_COUNT]! += 1;
      return true;
    },
    backoff(retry, random) {
      const full = FIRST_BACKOFF * 2 ** Math.min(retry - 1, 20);
      return Math.min(full, BACKOFF_LIMIT) * (0.5 + random() / 2);
    },
  };
}
