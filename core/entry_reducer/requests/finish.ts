/**
 * The end of a request: its outcome, its stored claim and its followers.
 *
 * @module
 */

import type { Milliseconds, Outcome } from "@dragonflyledge/model";
import {
  assertInvariant,
  Invariant,
  Reason,
  STORE_VALUE_LIMIT,
} from "@dragonflyledge/model";
import type { Emit, EntryState } from "../state.ts";
import { endAttempt } from "./end_attempt.ts";
import {
  claimKey,
  claimOrFollow,
  rememberAbandonedClaim,
} from "./claim_calls.ts";
import type { OpenRequest } from "./state.ts";

/**
 * Longest answer, in bytes, that is stored with a claim. The store's encoding
 * makes four bytes of three, and the claim itself needs room.
 */
const STORED_ANSWER_LIMIT = 0.7 * STORE_VALUE_LIMIT;

/**
 * Ends the request with its only outcome: answers the caller, stores the
 * outcome in the request's claim if it has one, and passes it on to followers.
 */
export function finishRequest(
  state: EntryState,
  request: OpenRequest,
  outcome: Outcome,
  now: Milliseconds,
  emit: Emit,
): void {
  assertOutcome(request, outcome);
  endAttempt(state, request, now);
  request.ended = true;
  state.requests.queue.remove(request);
  state.requests.timers.remove(request);
  state.requests.open.delete(request.id);
  rememberAbandonedClaim(state, request, outcome);
  if (request.claim !== undefined) {
    const claim = { ...request.claim, outcome: storableOutcome(outcome) };
    emit({ kind: "settleClaim", claim });
  }
  emit({ kind: "respond", request: request.id, outcome });
  countOutcome(request, outcome, now, emit);
  releaseKey(state, request, outcome, now, emit);
}

function countOutcome(
  request: OpenRequest,
  outcome: Outcome,
  now: Milliseconds,
  emit: Emit,
): void {
  const tags = { team: request.team, class: request.class };
  const reason = "reason" in outcome ? outcome.reason : "";
  emit({
    kind: "count",
    metric: "requests.outcomes",
    value: 1,
    tags: { ...tags, kind: outcome.kind, reason },
  });
  const value = now - request.arrivedAt;
  emit({ kind: "count", metric: "requests.completion_time", value, tags });
}

/** Returns the outcome to store: unknown if the store can't hold the answer. */
function storableOutcome(outcome: Outcome): Outcome {
  if (!("answer" in outcome)) return outcome;
  if (outcome.answer.body.length <= STORED_ANSWER_LIMIT) return outcome;
  return { kind: "unknown", reason: Reason.AnswerTooLong };
}

/**
 * Ends a request without an answer: as `not-run` if no attempt may have run,
 * and otherwise as unknown.
 */
export function giveUp(
  state: EntryState,
  request: OpenRequest,
  reason: Reason,
  now: Milliseconds,
  emit: Emit,
): void {
  const kind = request.mayHaveRun || request.running ? "unknown" : "not-run";
  finishRequest(state, request, { kind, reason }, now, emit);
}

function assertOutcome(request: OpenRequest, outcome: Outcome): void {
  assertInvariant({
    invariant: Invariant.OneOutcome,
    holds: !request.ended,
    step: "respond",
    peer: request.id,
    detail: `the request already has an outcome; the second is ${outcome.kind}`,
  });
  assertInvariant({
    invariant: Invariant.NotRunTrue,
    holds: outcome.kind !== "not-run" ||
      (!request.mayHaveRun && request.running === undefined),
    step: "respond",
    peer: request.id,
    detail: `attempt ${request.attempts} may have run`,
  });
}

/**
 * Whether followers get the same outcome. After `not-run`, a follower may still
 * run the work. A request without a claim of its own that ends as unknown only
 * read the claim of another, and its followers may have more time to do so.
 */
function isSharedWithFollowers(
  request: OpenRequest,
  outcome: Outcome,
): boolean {
  return outcome.kind === "done" || outcome.kind === "failed" ||
    (outcome.kind === "unknown" && request.claim !== undefined);
}

/**
 * Gives up the key here and ends the followers of the request with its outcome.
 * If they can't share it, they claim the key again.
 */
function releaseKey(
  state: EntryState,
  request: OpenRequest,
  outcome: Outcome,
  now: Milliseconds,
  emit: Emit,
): void {
  const { byKey } = state.requests;
  const key = claimKey(request.request);
  if (key === undefined || byKey.get(key) !== request) return;
  byKey.delete(key);
  for (const follower of request.followers.splice(0)) {
    if (follower.ended) continue;
    if (isSharedWithFollowers(request, outcome)) {
      finishRequest(state, follower, outcome, now, emit);
    } else claimOrFollow(state, follower, now);
  }
}
