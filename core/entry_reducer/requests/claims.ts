/**
 * Results of claims. The request that claims an idempotency key runs its work;
 * repeats with the same key get the stored outcome.
 *
 * @module
 */

import type {
  Claim,
  ClaimResult,
  EntryEvent,
  Milliseconds,
} from "@dragonflyledge/model";
import { Reason, SECOND } from "@dragonflyledge/model";
import type { Emit, EntryState } from "../state.ts";
import { resendAbandonedClaims } from "./claim_calls.ts";
import { finishRequest } from "./finish.ts";
import { queueRequest } from "./queueing.ts";
import type { OpenRequest } from "./state.ts";
import { Phase } from "./state.ts";
import { setRequestTimer } from "./wake.ts";

/** Delay in milliseconds before another request's claim is read again. */
const FIRST_READ_DELAY = 50;
/** The delay doubles with each read up to this limit. */
const READ_DELAY_LIMIT = 1 * SECOND;

/** Handles the results of one claim call; they are absent if it failed. */
export function applyClaimResults(
  state: EntryState,
  event: EntryEvent & { kind: "claimsAnswered" },
  emit: Emit,
): void {
  const { claims, open } = state.requests;
  const { results, now } = event;
  const current = claims.inFlight?.requests[0] === event.requests[0];
  event.requests.forEach((id, index) => {
    const request = open.get(id);
    const result = results?.[index];
    if (request?.phase === Phase.Claiming) {
      if (result === undefined) failClaim(state, request, now, emit);
      else applyClaim(state, request, result, now, emit);
    } else if (result !== undefined) settleAbandoned(state, id, result, emit);
  });
  if (current) claims.inFlight = undefined;
  if (results !== undefined) resendAbandonedClaims(state, now, emit);
}

/**
 * Ends a request whose claim was not confirmed. The claim may be stored all the
 * same, so the request must never run.
 */
export function failClaim(
  state: EntryState,
  request: OpenRequest,
  now: Milliseconds,
  emit: Emit,
): void {
  const reason = Reason.StoreUnavailable;
  const outcome = { kind: "not-run" as const, reason, retryAfter: 1 };
  finishRequest(state, request, outcome, now, emit);
}

/** Handles the present state of another request's claim. */
export function applyClaimRead(
  state: EntryState,
  event: EntryEvent & { kind: "claimRead" },
  emit: Emit,
): void {
  const request = state.requests.open.get(event.request);
  if (request?.phase !== Phase.Watching || event.claim === undefined) return;
  applyExistingClaim(state, request, event.claim, event.now, emit);
}

/** Reads the claim of another request again, with a growing delay. */
export function readClaim(
  state: EntryState,
  request: OpenRequest,
  now: Milliseconds,
  emit: Emit,
): void {
  const { team } = request;
  const key = request.request.idempotencyKey!;
  emit({ kind: "readClaim", request: request.id, team, key });
  scheduleRead(state, request, now);
}

/** Queues the request if its claim was stored, or handles the existing one. */
function applyClaim(
  state: EntryState,
  request: OpenRequest,
  result: ClaimResult,
  now: Milliseconds,
  emit: Emit,
): void {
  if (result.kind === "existing") {
    applyExistingClaim(state, request, result.claim, now, emit);
    return;
  }
  // These fields must equal the stored claim, or the outcome is not written.
  queueUnderClaim(
    state,
    request,
    {
      team: request.team,
      key: request.request.idempotencyKey!,
      fingerprint: request.fingerprint,
      request: request.id,
      entry: state.id,
      incarnation: state.incarnation,
      created: "",
    },
    now,
    emit,
  );
}

/**
 * Decides what an existing claim means for the request. Without an outcome, a
 * claim of a live entry is read again; the work of a dead entry runs again only
 * if it is idempotent.
 */
function applyExistingClaim(
  state: EntryState,
  request: OpenRequest,
  claim: Claim,
  now: Milliseconds,
  emit: Emit,
): void {
  request.phase = Phase.Watching;
  const end = (outcome: Parameters<typeof finishRequest>[2]) =>
    finishRequest(state, request, outcome, now, emit);
  if (claim.fingerprint !== request.fingerprint) {
    end({ kind: "not-run", reason: Reason.KeyReused });
  } else if (claim.outcome !== undefined) {
    end(claim.outcome);
  } else if (mayRunUnderClaim(state, request, claim)) {
    queueUnderClaim(state, request, claim, now, emit);
  } else if (isHolderLive(state, claim)) {
    scheduleRead(state, request, now);
  } else if (request.request.idempotent) {
    queueUnderClaim(state, request, claim, now, emit);
  } else end({ kind: "unknown", reason: Reason.OwnershipLost });
}

/**
 * Whether the claim is the request's own, or that of a request which this entry
 * answered `not-run` and which never runs. Such an abandoned claim is taken
 * over, so it is removed from the abandoned ones.
 */
function mayRunUnderClaim(
  state: EntryState,
  request: OpenRequest,
  claim: Claim,
): boolean {
  if (claim.entry !== state.id || claim.incarnation !== state.incarnation) {
    return false;
  }
  return claim.request === request.id ||
    state.requests.claims.abandoned.delete(claim.request);
}

/** Whether the entry that wrote the claim is still running. */
function isHolderLive(state: EntryState, claim: Claim): boolean {
  if (claim.entry === state.id) return claim.incarnation === state.incarnation;
  const { liveEntries } = state.members;
  // Before the list of live entries is known, no entry counts as dead.
  if (liveEntries.size === 0) return true;
  const incarnation = liveEntries.get(claim.entry);
  return incarnation !== undefined && incarnation <= claim.incarnation;
}

/** Queues the request; its outcome will be stored in the claim. */
function queueUnderClaim(
  state: EntryState,
  request: OpenRequest,
  claim: Claim,
  now: Milliseconds,
  emit: Emit,
): void {
  request.claim = claim;
  queueRequest(state, request, now, emit);
}

/** Sets the time of the next read of the claim, with jitter. */
function scheduleRead(
  state: EntryState,
  request: OpenRequest,
  now: Milliseconds,
): void {
  const wait = Math.min(
    FIRST_READ_DELAY * 2 ** request.claimReads,
    READ_DELAY_LIMIT,
  );
  request.claimReads++;
  const at = now + wait * (0.5 + state.random() / 2);
  setRequestTimer(state, request, Math.min(at, request.deadline));
}

/**
 * Stores the outcome `not-run` of an abandoned claim if the claim turns out to
 * be in the store, so that repeats need not wait for it.
 */
function settleAbandoned(
  state: EntryState,
  id: string,
  result: ClaimResult,
  emit: Emit,
): void {
  const { abandoned } = state.requests.claims;
  const known = abandoned.get(id);
  if (known === undefined) return;
  abandoned.delete(id);
  const stored = result.kind === "created" ? known.claim : result.claim;
  if (stored.request !== id || stored.outcome !== undefined) return;
  emit({
    kind: "settleClaim",
    claim: { ...known.claim, outcome: known.outcome },
  });
}
