/**
 * Entry point of the request reducer: arrivals, claims, attempts and timers.
 *
 * @module
 */

import type { EntryEvent } from "@dragonflyledge/model";
import type { Emit, EntryState } from "../state.ts";
import { acceptRequest } from "./arrive.ts";
import { reduceAttemptMessage } from "./attempts.ts";
import { sendPendingClaims } from "./claim_calls.ts";
import { applyClaimRead, applyClaimResults } from "./claims.ts";
import { dispatchService, endPeaks } from "./dispatch.ts";
import { handleCallerLeft } from "./leave.ts";
import { loseAttempts, resumeAttempts } from "./sessions.ts";
import { runTimers } from "./timers.ts";

/**
 * Applies one event to the requests, then expires timers, sends queued requests
 * to agents whose slots changed, and sends the claims that are due.
 */
export function reduceRequests(
  state: EntryState,
  event: EntryEvent,
  emit: Emit,
): void {
  const { now } = event;
  applyEvent(state, event, emit);
  runTimers(state, now, emit);
  endPeaks(state, now);
  const { changedServices: changed } = state.members;
  const services = [...changed];
  for (const service of services) dispatchService(state, service, now, emit);
  changed.clear();
  sendPendingClaims(state, now, event.kind === "tick", emit);
}

function applyEvent(state: EntryState, event: EntryEvent, emit: Emit): void {
  const { now } = event;
  switch (event.kind) {
    case "requestArrived":
      return acceptRequest(state, event, emit);
    case "callerLeft":
      return handleCallerLeft(state, event.request, now, emit);
    case "claimsAnswered":
      return applyClaimResults(state, event, emit);
    case "claimRead":
      return applyClaimRead(state, event, emit);
    case "message":
      return reduceAttemptMessage(state, event, emit);
    case "agentLost":
      return loseAttempts(state, event.worker, event.incarnation, now, emit);
    case "agentConnected": {
      const { id, incarnation, inventory } = event.hello;
      const worker = inventory?.worker ?? id;
      return resumeAttempts(state, worker, incarnation, now, emit);
    }
  }
}
