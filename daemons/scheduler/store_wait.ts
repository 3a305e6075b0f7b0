/**
 * Decides how long a request waits for a store that is away.
 *
 * Load pattern: the store is away for some seconds while callers submit jobs.
 * An absence is often shorter than the time to a caller's next attempt, and a
 * caller has few attempts.
 *
 * @module
 */

import { sleep } from "@dragonflyledge/model";
import type { Clock, Milliseconds, Timer } from "@dragonflyledge/model";

/**
 * Share of the caller's timeout for which a request may wait; the rest is left
 * for the calls to the store.
 */
const STORE_WAIT_SHARE = 0.5;
const STORE_CHECK_INTERVAL: Milliseconds = 50;
/** Requests beyond this number do not wait. */
const MAX_WAITING_REQUESTS = 500;

/**
 * Waits until the store answers again. Returns whether it does.
 *
 * @param request.startedAt monotonic time at which the request arrived
 * @param request.timeout how long its caller waits for an answer
 */
export type StoreWait = (
  request: { startedAt: Milliseconds; timeout: Milliseconds },
) => Promise<boolean>;

/** Creates the wait for the requests of one entry. */
export function createStoreWait(fields: {
  /** Whether this process can carry out no request at present. */
  isFailing: () => boolean;
  clock: Clock;
  timer: Timer;
}): StoreWait {
  const { isFailing, clock, timer } = fields;
  let waiting = 0;

  return async ({ startedAt, timeout }) => {
    if (waiting >= MAX_WAITING_REQUESTS) return false;
    waiting++;
    const end = startedAt + timeout * STORE_WAIT_SHARE;
    while (isFailing() && clock.now() < end) {
      await sleep({ timer, delay: STORE_CHECK_INTERVAL });
    }
    waiting--;
    return !isFailing();
  };
}
