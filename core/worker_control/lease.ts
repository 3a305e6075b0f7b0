/**
 * Lease of a worker: how far it may be extended, and when it is surely over.
 *
 * @module
 */

import type { Milliseconds } from "@dragonflyledge/model";
import type { ControlledWorker, ControlState } from "./state.ts";

/** A worker's steady clock runs at least at this rate. */
const SLOWEST_CLOCK_RATE = 0.98;
/** A lease that ends sooner than this isn't worth a call. */
const MIN_GRANT_LEFT: Milliseconds = 300;

/**
 * Returns the worker's time up to which its lease may be extended, or
 * undefined if there is no grant or no reading of its clock. Even the slowest
 * clock reaches that time before the grant ends.
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

/** Notes that a call may have extended the lease up to the end of the grant. */
export function recordExtension(
  state: ControlState,
  worker: ControlledWorker,
): void {
  worker.latestLeaseEnd = Math.max(worker.latestLeaseEnd, state.grantEnd);
}

/** Bound for leases that an earlier process of this agent may have given. */
export function latestEarlierLeaseEnd(
  state: ControlState,
  now: Milliseconds,
): Milliseconds {
  return now + state.times.longestLease / SLOWEST_CLOCK_RATE;
}
