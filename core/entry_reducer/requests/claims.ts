/**
 * Results of claims: who runs the work of a key, and what repeats are told.
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

const FIRST_READ_DELAY = 50;
const READ_DELAY_LIMIT = 1 * SECOND;

/** Handles the results of one call; without any, the store failed. */
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

/** The claim may have been written, so this request must never run. */
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

/** Handles a claim of another request as it now is in the store. */
export function applyClaimRead(
  state: EntryState,
  event: EntryEvent & { kind: "claimRead" },
  emit: Emit,
): void {
  const request = state.requests.open.get(event.request);
  if (request?.phase !== Phase.Watching || event.claim === undefined) return;
  applyExistingClaim(state, request, event.claim, event.now, emit);
}

/** Reads the claim of another request again, ever more rarely. */
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
  // The identity must be the stored one, so that the outcome reaches it.
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

/** The request's own claim, or one whose request was answered `not-run`. */
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

function isHolderLive(state: EntryState, claim: Claim): boolean {
  if (claim.entry === state.id) return claim.incarnation === state.incarnation;
  const { liveEntries } = state.members;
  // Without any knowledge of others, nobody is taken for dead.
  if (liveEntries.size === 0) return true;
  const incarnation = liveEntries.get(claim.entry);
  return incarnation !== undefined && incarnation <= claim.incarnation;
}

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

/** Lets repeats learn that the request of this claim never ran. */
function settleAbandoned(
  state: EntryState,
  id: string,
  result: ClaimResult,
  emit: Emit,
): void {
  const { abandoned } = state.requests.claims;
  const entry = abandoned.get(id);
  if (entry === undefined) return;
  abandoned.delete(id);
  const stored = result.kind === "created" ? entry.claim : result.claim;
  if (stored.request !== id || stored.outcome !== undefined) return;
  emit({
    kind: "settleClaim",
    claim: { ...entry.claim, outcome: entry.outcome },
  });
}
