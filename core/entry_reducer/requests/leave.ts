/**
 * Requests whose caller closes its connection before the answer.
 *
 * @module
 */

import type { Milliseconds, RequestId } from "@dragonflyledge/model";
import { Reason } from "@dragonflyledge/model";
import type { Emit, EntryState } from "../state.ts";
import { cancelAttempt } from "./attempt_calls.ts";
import { isOutcomeWanted } from "./break_attempt.ts";
import { finishRequest, giveUp } from "./finish.ts";
import { Phase } from "./state.ts";

/**
 * Ends the request of a caller that has left, unless other requests wait for
 * its outcome. Running work is cancelled only if it is idempotent and has no
 * idempotency key with which a repeat could ask for the outcome.
 */
export function handleCallerLeft(
  state: EntryState,
  id: RequestId,
  now: Milliseconds,
  emit: Emit,
): void {
  const request = state.requests.open.get(id);
  if (request === undefined) return;
  request.callerLeft = true;
  // Repeats with the same key wait for the outcome of this request.
  if (request.followers.some((each) => !each.ended)) return;
  const reason = Reason.Cancelled;
  if (request.running !== undefined) {
    if (!request.request.idempotent || isOutcomeWanted(request)) return;
    cancelAttempt(request, emit);
    giveUp(state, request, reason, now, emit);
  } else if (
    request.phase === Phase.Following || request.phase === Phase.Watching
  ) {
    // The work of the key may have run for the request that claimed it.
    finishRequest(state, request, { kind: "unknown", reason }, now, emit);
  } else giveUp(state, request, reason, now, emit);
}
