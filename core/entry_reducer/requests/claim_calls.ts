/**
 * Calls to the store that claim idempotency keys. Claims are collected, so that
 * one call carries many of them.
 *
 * @module
 */

import type {
  Claim,
  Milliseconds,
  Outcome,
  WorkRequest,
} from "@dragonflyledge/model";
import { SECOND } from "@dragonflyledge/model";
import type { Emit, EntryState } from "../state.ts";
import type { OpenRequest } from "./state.ts";
import { Phase } from "./state.ts";
import { setRequestTimer } from "./wake.ts";

/** Milliseconds for which claims are collected, unless a tick comes first. */
const BATCH_DELAY = 5;
/** Most claims in one call. */
const BATCH_LIMIT = 64;
/** A call that takes longer counts as failed, so that it delays no other. */
export const CLAIM_TIMEOUT = 1 * SECOND;
/**
 * Most abandoned claims that are remembered. Beyond it the oldest is forgotten,
 * and its key stays without an outcome in the store.
 */
const ABANDONED_LIMIT = 10_000;

/** Returns the idempotency key with its team, or undefined without a key. */
export function claimKey(request: WorkRequest): string | undefined {
  if (request.idempotencyKey === undefined) return undefined;
  return `${request.team}\0${request.idempotencyKey}`;
}

/**
 * Adds the request's key to the next call, or lets the request wait for the
 * outcome of the open request that already holds the key here.
 */
export function claimOrFollow(
  state: EntryState,
  request: OpenRequest,
  now: Milliseconds,
): void {
  const { byKey, claims } = state.requests;
  const key = claimKey(request.request)!;
  const holder = byKey.get(key);
  if (holder !== undefined) {
    request.phase = Phase.Following;
    holder.followers.push(request);
    setRequestTimer(state, request, request.deadline);
    return;
  }
  byKey.set(key, request);
  request.phase = Phase.Claiming;
  if (claims.pending.length === 0) claims.pendingSince = now;
  claims.pending.push(request);
  setRequestTimer(
    state,
    request,
    Math.min(now + CLAIM_TIMEOUT, request.deadline),
  );
}

/**
 * Sends the collected claims if no other call is under way and `BATCH_DELAY`
 * has passed or this is a tick.
 */
export function sendPendingClaims(
  state: EntryState,
  now: Milliseconds,
  tick: boolean,
  emit: Emit,
): void {
  const { claims } = state.requests;
  if (claims.inFlight && now < claims.inFlight.sentAt + CLAIM_TIMEOUT) return;
  claims.inFlight = undefined;
  claims.pending = claims.pending
    .filter((each) => !each.ended && each.phase === Phase.Claiming);
  if (claims.pending.length === 0) return;
  if (!tick && now < claims.pendingSince + BATCH_DELAY) return;
  const batch = claims.pending.splice(0, BATCH_LIMIT);
  sendClaims(state, batch.map((each) => newClaim(state, each)), now, emit);
}

/**
 * Sends abandoned claims again, except those whose keys an open request holds.
 * The result shows whether the store now holds the claim, which then gets its
 * outcome.
 */
export function resendAbandonedClaims(
  state: EntryState,
  now: Milliseconds,
  emit: Emit,
): void {
  const { claims } = state.requests;
  if (claims.inFlight || claims.abandoned.size === 0) return;
  const batch: Claim[] = [];
  for (const { claim } of claims.abandoned.values()) {
    if (state.requests.byKey.has(`${claim.team}\0${claim.key}`)) continue;
    batch.push(claim);
    if (batch.length === BATCH_LIMIT) break;
  }
  if (batch.length > 0) sendClaims(state, batch, now, emit);
}

/**
 * Remembers the claim of a request that ends before the store has answered,
 * since the claim may be stored.
 */
export function rememberAbandonedClaim(
  state: EntryState,
  request: OpenRequest,
  outcome: Outcome,
): void {
  const { abandoned, inFlight } = state.requests.claims;
  if (request.phase !== Phase.Claiming || request.claim !== undefined) return;
  if (!inFlight?.requests.includes(request.id)) return;
  abandoned.set(request.id, { claim: newClaim(state, request), outcome });
  if (abandoned.size <= ABANDONED_LIMIT) return;
  for (const oldest of abandoned.keys()) {
    abandoned.delete(oldest);
    break;
  }
}

function sendClaims(
  state: EntryState,
  claims: Claim[],
  now: Milliseconds,
  emit: Emit,
): void {
  const requests = claims.map((each) => each.request);
  state.requests.claims.inFlight = { requests, sentAt: now };
  emit({ kind: "claim", claims });
}

/**
 * Creates the claim of the request's key. `created` stays empty: the reducer
 * has no wall clock, so the code that performs the effect sets it.
 */
function newClaim(state: EntryState, request: OpenRequest): Claim {
  return {
    team: request.team,
    key: request.request.idempotencyKey!,
    fingerprint: request.fingerprint,
    request: request.id,
    entry: state.id,
    incarnation: state.incarnation,
    created: "",
  };
}
