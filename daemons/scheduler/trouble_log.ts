/**
 * Logs when the store stops answering a follower, and when it answers again.
 *
 * @module
 */

import type { Log } from "@dragonflyledge/log";
import type { FollowFailure } from "./follow.ts";

/** Returns what logs the failures of the follower of `follows`. */
export function createTroubleLog(
  log: Log,
  follows: string,
): (failure: FollowFailure | undefined) => void {
  return (failure) => {
    if (!failure) return log.info("The store answers again.", { follows });
    const { call, reason, receivedBytes = 0 } = failure;
    const duration = Math.round(failure.duration);
    const text = receivedBytes === 0
      ? "The store does not answer."
      : "The store's answer is incomplete.";
    log.warn(text, { follows, call, reason, duration, receivedBytes });
  };
}
