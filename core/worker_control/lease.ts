/**
 * Lease of a worker: how far it may be extended, and when it has certainly
 * ended.
 *
 * @module
 */

import type { Milliseconds } from "@dragonflyledge/model";
import { CALL_DELAY_LIMIT, latestOpenStart } from "./open_starts.ts";
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

/**
 * Returns for how long a worker, by the agent's clock, holds at most a lease of
 * the length `longestLease`.
 */
export function longestLeaseTime(longestLease: Milliseconds): Milliseconds {
  return longestLease / SLOWEST_CLOCK_RATE;
}

/**
 * Returns when a lease has ended that the worker holds at `now` by calls of
 * earlier holders. Such a call names a time on the clock of a former
 * incarnation, for which the present one may take the longest lease.
 */
export function latestEarlierLeaseEnd(
  { times }: ControlState,
  now: Milliseconds,
): Milliseconds {
  return now + longestLeaseTime(times.longestLease);
}

/**
 * The same for a worker that has not answered a call of the present holder, so
 * that it may still carry out earlier ones. Only starts bring runs to it.
 */
export function latestUnfencedLeaseEnd(
  state: ControlState,
  id: string,
  now: Milliseconds,
): Milliseconds {
  const lastStart = latestOpenStart(state, id, now);
  return latestEarlierLeaseEnd(
    state,
    Math.max(now, lastStart + CALL_DELAY_LIMIT),
  );
}

/**
 * Returns the agent's time after which no run is at work under a lease that the
 * agent or an earlier process of it has given.
 */
export function latestLeaseEnd(
  state: ControlState,
  now: Milliseconds,
): Milliseconds {
  const { worker, startedAt } = state;
  if (!worker) return latestEarlierLeaseEnd(state, startedAt ?? now);
  return state.emptied.includes(worker.state.key) ? now : worker.latestLeaseEnd;
}
