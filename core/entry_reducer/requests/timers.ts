/**
 * What happens to requests as time passes: deadlines, delays and timeouts.
 *
 * @module
 */

import type { Milliseconds } from "@dragonflyledge/model";
import { Reason, SECOND } from "@dragonflyledge/model";
import { currentAgent } from "../members/reduce.ts";
import { serviceAgents } from "../members/state.ts";
import type { AgentView, Emit, EntryState } from "../state.ts";
import { excludeSilentAgent } from "../members/silence.ts";
import { recordFailure } from "../members/work_health.ts";
import { cancelAttempt, queryAttempt } from "./attempt_calls.ts";
import { breakAttempt, workKind } from "./break_attempt.ts";
import { failClaim, readClaim } from "./claims.ts";
import { finishRequest, giveUp } from "./finish.ts";
import { endBackOff } from "./queueing.ts";
import type { OpenRequest } from "./state.ts";
import { Phase } from "./state.ts";
import {
  assertNoEndlessWait,
  CANCEL_TIMEOUT,
  setRequestTimer,
} from "./wake.ts";

/** A service without any endpoint for this long has its requests refused. */
const NO_ENDPOINT_TIMEOUT = 3 * SECOND;
/** Work that has taken more than this multiple of its upper run time hangs. */
const HANG_FACTOR = 4;
/** Interval of the checks that look at all requests. */
const CHECK_INTERVAL = 1 * SECOND;

/** Ends expired requests, handles expired timers, and makes periodic checks. */
export function runTimers(
  state: EntryState,
  now: Milliseconds,
  emit: Emit,
): void {
  const { queue, timers } = state.requests;
  for (const request of queue.expire(now)) {
    giveUp(state, request, Reason.DeadlinePassed, now, emit);
  }
  for (
    let request = timers.peek();
    request !== undefined && request.timerAt <= now;
    request = timers.peek()
  ) {
    handleTimer(state, request, now, emit);
  }
  if (now - state.requests.lastCheckAt < CHECK_INTERVAL) return;
  state.requests.lastCheckAt = now;
  refuseWithoutEndpoint(state, now, emit);
  assertNoEndlessWait(state, now);
}

/** Whether the service has had no connected agent for `NO_ENDPOINT_TIMEOUT`. */
export function isWithoutEndpoint(
  state: EntryState,
  service: string,
  now: Milliseconds,
): boolean {
  const agents = serviceAgents(state.members, service);
  if (agents.connected.size > 0) return false;
  agents.absentSince ??= now;
  return now - agents.absentSince >= NO_ENDPOINT_TIMEOUT;
}

/** Refuses queued requests of services without any endpoint. */
function refuseWithoutEndpoint(
  state: EntryState,
  now: Milliseconds,
  emit: Emit,
): void {
  if (state.requests.queue.size === 0) return;
  const absent = new Set(
    [...state.members.services.keys()]
      .filter((service) => isWithoutEndpoint(state, service, now)),
  );
  if (absent.size === 0) return;
  for (const request of [...state.requests.open.values()]) {
    if (request.phase !== Phase.Queued || request.mayHaveRun) continue;
    if (!absent.has(request.service)) continue;
    giveUp(state, request, Reason.NoEndpoint, now, emit);
  }
}

/** Handles the expired timer of a request, according to its phase. */
function handleTimer(
  state: EntryState,
  request: OpenRequest,
  now: Milliseconds,
  emit: Emit,
): void {
  const late = now >= request.deadline;
  switch (request.phase) {
    case Phase.Claiming:
      if (!late) return failClaim(state, request, now, emit);
      return giveUp(state, request, Reason.DeadlinePassed, now, emit);
    case Phase.Watching:
      if (!late) return readClaim(state, request, now, emit);
      return endAsUnknown(state, request, now, emit);
    case Phase.Following:
      return endAsUnknown(state, request, now, emit);
    case Phase.Backoff:
      if (!late) return endBackOff(state, request, now);
      return giveUp(state, request, Reason.DeadlinePassed, now, emit);
    case Phase.Running:
      return checkAttempt(state, request, now, emit);
    default:
      return giveUp(state, request, Reason.DeadlinePassed, now, emit);
  }
}

/**
 * Ends a request at its deadline that waited for another request with its key.
 * The work may have run for that one.
 */
function endAsUnknown(
  state: EntryState,
  request: OpenRequest,
  now: Milliseconds,
  emit: Emit,
): void {
  const outcome = { kind: "unknown" as const, reason: Reason.DeadlinePassed };
  finishRequest(state, request, outcome, now, emit);
}

/** Handles the expired timer of a request whose attempt is running. */
function checkAttempt(
  state: EntryState,
  request: OpenRequest,
  now: Milliseconds,
  emit: Emit,
): void {
  const running = request.running!;
  if (now >= request.deadline) {
    cancelLateAttempt(state, request, now, emit);
  } else if (now >= running.giveUpAt) {
    breakAttempt(state, request, true, now, emit);
  } else if (!running.accepted || running.queried) {
    resolveSilentAttempt(state, request, now, emit);
  } else setRequestTimer(state, request, request.deadline);
}

/**
 * Handles an attempt about which the agent does not answer. The agent gets no
 * new work for a short time, long before its session times out. Idempotent work
 * is retried elsewhere; for other work the agent is asked for the state.
 */
function resolveSilentAttempt(
  state: EntryState,
  request: OpenRequest,
  now: Milliseconds,
  emit: Emit,
): void {
  const { worker, incarnation } = request.running!;
  const agent = currentAgent(state, worker, incarnation);
  if (agent) excludeSilentAgent(state, agent, now);
  if (!request.request.idempotent) {
    queryAttempt(state, request, now, emit);
    return;
  }
  cancelAttempt(request, emit);
  breakAttempt(state, request, false, now, emit);
}

/** Cancels an attempt at the deadline of its request. */
function cancelLateAttempt(
  state: EntryState,
  request: OpenRequest,
  now: Milliseconds,
  emit: Emit,
): void {
  const { worker, incarnation, accepted, sentAt } = request.running!;
  const agent = currentAgent(state, worker, incarnation);
  const elapsed = now - sentAt;
  if (accepted) observeLateAttempt(state, request, agent, elapsed, now, emit);
  cancelAttempt(request, emit);
  request.phase = Phase.Cancelling;
  if (agent === undefined) {
    giveUp(state, request, Reason.DeadlinePassed, now, emit);
  } else setRequestTimer(state, request, request.deadline + CANCEL_TIMEOUT);
}

/**
 * Records the run time of work that is cancelled at its deadline, as a lower
 * bound, or the failure of a worker on which the work has hung.
 */
function observeLateAttempt(
  state: EntryState,
  request: OpenRequest,
  agent: AgentView | undefined,
  elapsed: Milliseconds,
  now: Milliseconds,
  emit: Emit,
): void {
  const { runTimeEstimates: estimates } = state.requests;
  const estimate = estimates.estimate(request, now);
  // A worker that has hung never answers, so no error would show the failure.
  if (agent && estimate && elapsed > HANG_FACTOR * estimate.upper) {
    const work = workKind(request);
    if (recordFailure(state, agent, work, now, emit)) return;
  }
  if (elapsed > (estimate?.median ?? 0)) {
    estimates.observe(request, elapsed, now);
  }
}
