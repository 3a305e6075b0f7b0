/**
 * Notices that a connection makes no progress.
 *
 * @module
 */

import type { Milliseconds, Timer } from "@dragonflyledge/model";

/** Longest time between two checks. */
const CHECK_INTERVAL: Milliseconds = 250;
/** Least number of checks in a row that must see no progress. */
const MIN_CHECKS = 8;

/**
 * Calls `onStall` once checks over the time `timeout` saw no progress. A pause
 * of this process delays a single check, so that it counts as no stall of the
 * connection. Returns a function that ends the watch.
 */
export function watchProgress(fields: {
  timer: Timer;
  timeout: Milliseconds;
  /** Returns a number that changes with progress. */
  progress: () => number;
  onStall: () => void;
}): () => void {
  const { timer, timeout, progress } = fields;
  const interval = Math.min(CHECK_INTERVAL, timeout / MIN_CHECKS);
  const limit = Math.ceil(timeout / interval);
  let seen = progress();
  let idleChecks = 0;
  let cancel = () => {};

  function check(): void {
    const current = progress();
    idleChecks = current === seen ? idleChecks + 1 : 0;
    seen = current;
    if (idleChecks > limit) return fields.onStall();
    cancel = timer.after(interval, check);
  }

  check();
  return () => cancel();
}
