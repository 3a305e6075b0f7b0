/**
 * How long an agent may extend its worker's lease without hearing from the
 * leader.
 *
 * @module
 */

import { SECOND } from "@dragonflyledge/model";
import type { Milliseconds } from "@dragonflyledge/model";
import { log } from "./log.ts";
import type { ControlState } from "./state.ts";

/** Runs survive an absence of the leader that is shorter than this. */
const MAX_GRANT: Milliseconds = 8 * SECOND;

/** Returns the length of a grant if leases last at most `longestLease`. */
export function grantLength(longestLease: Milliseconds): Milliseconds {
  return Math.min(MAX_GRANT, longestLease);
}

/** Extends the grant up to `end`, unless it lasts longer already. */
export function extendGrant(
  state: ControlState,
  end: Milliseconds,
  now: Milliseconds,
): void {
  state.grantEnd = Math.max(state.grantEnd, end);
  if (state.hasGrant || state.grantEnd <= now) return;
  state.hasGrant = true;
  log(state, "Grant begun.", { left: Math.round(state.grantEnd - now) });
}

/** Notes that the grant has ended, after which the worker's lease lapses. */
export function noteGrantEnd(state: ControlState, now: Milliseconds): void {
  if (!state.hasGrant || state.grantEnd > now) return;
  state.hasGrant = false;
  log(state, "Grant ended.", { ago: Math.round(now - state.grantEnd) });
}
