/**
 * Steps of requests that only time causes.
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
import { breakAttempt, workOf } from "./break_attempt.ts";
import { failClaim, readClaim } from "./claims.ts";
import { finishRequest, giveUp } from "./finish.ts";
import { endBackOff } from "./queueing.ts";
import type { OpenRequest } from "./state.ts";
import { Phase } from "./state.ts";
import { assertNoEndlessWait, CANCEL_BOUND, wakeRequest } from "./wake.ts";

/** Without any endpoint for this long, requests are refused. */
const ABSENCE_LIMIT = 3 * SECOND;
/** Work that takes this many times its upper run time counts as hanging. */
const HANG_FACTOR = 4;
const CHECK_INTERVAL = 1 * SECOND;

/** Takes all steps that are due. */
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
    request !== undefined && request.wakeAt <= now;
    request = timers.peek()
  ) {
    takeStep(state, request, now, emit);
  }
  if (now - state.requests.checkedAt < CHECK_INTERVAL) return;
  state.requests.checkedAt = now;
  refuseWithoutEndpoint(state, now, emit);
  assertNoEndlessWait(state, now);
}

/** Whether no endpoint of the service has been known for some time. */
export function isWithoutEndpoint(
  state: EntryState,
  service: string,
  now: Milliseconds,
): boolean {
  const agents = serviceAgents(state.members, service);
  if (agents.connected.size > 0) return false;
  agents.absentSince ??= now;
  return now - agents.absentSince >= ABSENCE_LIMIT;
}

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

function takeStep(
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
      return endUnknown(state, request, now, emit);
    case Phase.Following:
      return endUnknown(state, request, now, emit);
    case Phase.Backoff:
      if (!late) return endBackOff(state, request, now);
      return giveUp(state, request, Reason.DeadlinePassed, now, emit);
    case Phase.Running:
      return checkAttempt(state, request, now, emit);
    default:
      return giveUp(state, request, Reason.DeadlinePassed, now, emit);
  }
}

/** The work of the key may have run for the request that claimed it. */
function endUnknown(
  state: EntryState,
  request: OpenRequest,
  now: Milliseconds,
  emit: Emit,
): void {
  const outcome = { kind: "unknown" as const, reason: Reason.DeadlinePassed };
  finishRequest(state, request, outcome, now, emit);
}

function checkAttempt(
  state: EntryState,
  request: OpenRequest,
  now: Milliseconds,
  emit: Emit,
): void {
  const running = request.running!;
  if (now >= request.deadline) {
    stopLate(state, request, now, emit);
  } else if (now >= running.giveUpAt) {
    breakAttempt(state, request, true, now, emit);
  } else if (!running.accepted || running.queried) {
    resolveSilence(state, request, now, emit);
  } else wakeRequest(state, request, request.deadline);
}

/**
 * An agent that is silent is noticed long before its session times out. Work
 * that may run twice goes elsewhere; other work waits for an answer.
 */
function resolveSilence(
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

function stopLate(
  state: EntryState,
  request: OpenRequest,
  now: Milliseconds,
  emit: Emit,
): void {
  const { worker, incarnation, accepted, sentAt } = request.running!;
  const agent = currentAgent(state, worker, incarnation);
  const elapsed = now - sentAt;
  if (accepted) observeLate(state, request, agent, elapsed, now, emit);
  cancelAttempt(request, emit);
  request.phase = Phase.Cancelling;
  if (agent === undefined) {
    giveUp(state, request, Reason.DeadlinePassed, now, emit);
  } else wakeRequest(state, request, request.deadline + CANCEL_BOUND);
}

/** Work that is cut off ran at least this long. */
function observeLate(
  state: EntryState,
  request: OpenRequest,
  agent: AgentView | undefined,
  elapsed: Milliseconds,
  now: Milliseconds,
  emit: Emit,
): void {
  const { estimates } = state.requests;
  const estimate = estimates.estimate(request, now);
  // A worker that hangs never answers, so that no error would show it.
  if (agent && estimate && elapsed > HANG_FACTOR * estimate.upper) {
    const work = workOf(request);
    if (recordFailure(state, agent, work, now, emit)) return;
  }
  if (elapsed > (estimate?.median ?? 0)) {
    estimates.observe(request, elapsed, now);
  }
}
