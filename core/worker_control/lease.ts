/**
 * Lease of a worker: how far it may be extended, and when it has certainly
 * ended.
 *
 * @module
 */

import type { Milliseconds } from "@dragonflyledge/model";
import type { ControlledWorker, ControlState } from "./state.ts";

/** Lowest assumed rate of a worker's clock, relative to the agent's. */
const SLOWEST_CLOCK_RATE = 0.98;
/** With less than this left of the grant, the lease is not extended. */
const MIN_GRANT_LEFT: Milliseconds = 300;

/**
 * Returns the time on the worker's clock up to which its lease may be
 * extended. Even the slowest assumed clock reaches that time before the grant
 * ends. Returns undefined if the grant has ended or ends too soon, or if the
 * worker's clock was not read yet.
 */
export function computeLeaseEnd(
  state: ControlState,
  worker: ControlledWorker,
  now: Milliseconds,
): Milliseconds | undefined {
  if (!worker.clock || state.grantEnd < now + MIN_GRANT_LEFT) return undefined;
  const length = (state.grantEnd - worker.clock.at) * SLOWEST_CLOCK_RATE;
  return Math.floor(worker.clock.value + length);
}

/** Records that a call may extend the lease up to the end of the grant. */
export function recordExtension(
  state: ControlState,
  worker: ControlledWorker,
): void {
  worker.latestLeaseEnd = Math.max(worker.latestLeaseEnd, state.grantEnd);
}

/** Returns when leases of an earlier process of this agent have ended. */
export function latestEarlierLeaseEnd(
  state: ControlState,
  now: Milliseconds,
): Milliseconds {
  return now + state.times.longestLease / SLOWEST_CLOCK_RATE;
}
