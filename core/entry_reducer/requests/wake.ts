/**
 * Timers of open requests.
 *
 * @module
 */

import type { Milliseconds } from "@dragonflyledge/model";
import { assertInvariant, Invariant } from "@dragonflyledge/model";
import type { EntryState } from "../state.ts";
import type { OpenRequest } from "./state.ts";

/** Time for the proof, after the deadline, that an attempt never ran. */
export const CANCEL_TIMEOUT = 250;

/** Sets the time of the request's next step. */
export function setRequestTimer(
  state: EntryState,
  request: OpenRequest,
  at: Milliseconds,
): void {
  state.requests.timers.remove(request);
  request.timerAt = at;
  state.requests.timers.push(request);
}

/** Checks that no open request outlives its deadline by more than the bound. */
export function assertNoEndlessWait(
  state: EntryState,
  now: Milliseconds,
): void {
  for (const request of state.requests.open.values()) {
    assertInvariant({
      invariant: Invariant.NoEndlessWait,
      holds: now <= request.deadline + CANCEL_TIMEOUT,
      step: request.phase,
      peer: request.id,
      detail: `open ${now - request.deadline} ms after its deadline`,
    });
  }
}
