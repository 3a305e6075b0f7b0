/**
 * Timers of open requests, and the check that none outlives its deadline.
 *
 * @module
 */

import type { Milliseconds } from "@dragonflyledge/model";
import { assertInvariant, Invariant } from "@dragonflyledge/model";
import type { EntryState } from "../state.ts";
import type { OpenRequest } from "./state.ts";

/**
 * Time in milliseconds, after the deadline, in which the agent of a cancelled
 * attempt may still prove that the attempt never ran.
 */
export const CANCEL_TIMEOUT = 250;

/** Sets or moves the timer of the request; `runTimers` handles its expiry. */
export function setRequestTimer(
  state: EntryState,
  request: OpenRequest,
  at: Milliseconds,
): void {
  state.requests.timers.remove(request);
  request.timerAt = at;
  state.requests.timers.push(request);
}

/** Checks that every request ends within `CANCEL_TIMEOUT` of its deadline. */
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
      detail: `the request is open ${
        now - request.deadline
      } ms after its deadline`,
    });
  }
}
