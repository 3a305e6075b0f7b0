/**
 * Queueing of requests: early refusal, limits, and backoff before a retry.
 *
 * @module
 */

import type { Estimate } from "@dragonflyledge/admission";
import type { Milliseconds, Outcome, WorkClass } from "@dragonflyledge/model";
import { Reason, SECOND } from "@dragonflyledge/model";
import { countFreeAgents } from "../members/choose_agent.ts";
import type { Emit, EntryState } from "../state.ts";
import { giveUp } from "./finish.ts";
import type { OpenRequest } from "./state.ts";
import { Phase, serviceLoad } from "./state.ts";
import { setRequestTimer } from "./wake.ts";

/** Returns the class of the request in the current configuration, if any. */
export function classOf(
  state: EntryState,
  request: { class: string },
): WorkClass | undefined {
  return state.configuration?.classes
    .find((each) => each.name === request.class);
}

/** Queues a request for the first time, or refuses it if the queue is full. */
export function queueRequest(
  state: EntryState,
  request: OpenRequest,
  now: Milliseconds,
  emit: Emit,
): void {
  const limit = classOf(state, request)?.queueLimit ?? 0;
  if (!pushToQueue(state, request, limit, now)) {
    giveUp(state, request, Reason.QueueFull, now, emit);
  }
}

/** Queues a request again. The queue limit does not apply a second time. */
export function requeueRequest(
  state: EntryState,
  request: OpenRequest,
  now: Milliseconds,
): void {
  pushToQueue(state, request, Infinity, now);
}

/**
 * Makes the request wait before it is queued again.
 *
 * @param needsBudget whether the retry budget must also allow the retry
 */
export function backOff(
  state: EntryState,
  request: OpenRequest,
  needsBudget: boolean,
  now: Milliseconds,
): void {
  request.phase = Phase.Backoff;
  request.needsBudget = needsBudget;
  request.retries++;
  const wait = state.requests.retryBudget.backoff(
    request.retries,
    state.random,
  );
  setRequestTimer(state, request, Math.min(now + wait, request.deadline));
}

/** Queues the request after its backoff, or backs off again without budget. */
export function endBackOff(
  state: EntryState,
  request: OpenRequest,
  now: Milliseconds,
): void {
  if (request.needsBudget && !state.requests.retryBudget.tryTake(now)) {
    backOff(state, request, true, now);
  } else requeueRequest(state, request, now);
}

/**
 * Returns the refusal of a new request whose queue is full or whose deadline
 * would pass before it could be done, or undefined.
 */
export function checkAdmission(
  state: EntryState,
  request: OpenRequest,
  workClass: WorkClass,
  now: Milliseconds,
): Outcome | undefined {
  const { queue, runTimeEstimates: estimates } = state.requests;
  if (queue.sizeOf(request.team, request.class) >= workClass.queueLimit) {
    return { kind: "not-run", reason: Reason.QueueFull, retryAfter: 1 };
  }
  classifyRequest(state, request, workClass, now);
  const { wait } = serviceLoad(state.requests, request.service);
  const estimate = estimates.estimate(request, now);
  const expected = expectedWait(state, request, workClass, estimate, now);
  const remaining = request.deadline - now;
  const wanted = { wait: expected, estimate, remaining, now };
  if (!wait.unreachable(wanted)) return undefined;
  return {
    kind: "not-run",
    reason: Reason.DeadlineUnreachable,
    retryAfter: Math.max(1, Math.ceil((expected ?? 0) / SECOND)),
  };
}

/**
 * Returns the time that a new request would wait in the queue, or undefined if
 * it can't be estimated. Deferrable work first waits for all queued urgent
 * work, then for the deferrable work ahead of it.
 */
function expectedWait(
  state: EntryState,
  request: OpenRequest,
  workClass: WorkClass,
  estimate: Estimate | undefined,
  now: Milliseconds,
): Milliseconds | undefined {
  const { service, urgent, long } = request;
  const { queue } = state.requests;
  const load = serviceLoad(state.requests, service);
  const freeSlots = countFreeAgents(state, service, workClass, long, now);
  const weight = weightOf(state, request);
  const ahead = queue.countAhead(request, { urgent, weight });
  const terms = { freeSlots, estimate, now };
  if (urgent) return load.wait.wait({ ...terms, ahead, running: load.running });
  const running = load.deferrable;
  const own = load.deferrableWait.wait({ ...terms, ahead, running });
  const urgentAhead = queue.sizeOfService(service, true);
  if (urgentAhead === 0 || own === undefined) return own;
  const last = { ...terms, ahead: urgentAhead - 1, running: load.running };
  return own + (load.wait.wait(last) ?? 0);
}

/** Queues the request, or returns false if that exceeds `limit`. */
function pushToQueue(
  state: EntryState,
  request: OpenRequest,
  limit: number,
  now: Milliseconds,
): boolean {
  const workClass = classOf(state, request);
  if (workClass !== undefined) classifyRequest(state, request, workClass, now);
  const { queue, timers } = state.requests;
  const weight = weightOf(state, request);
  const pushed = queue.push(request, { urgent: request.urgent, weight, limit });
  if (!pushed) return false;
  timers.remove(request);
  request.phase = Phase.Queued;
  state.members.changedServices.add(request.service);
  return true;
}

/** Sets whether the request's work is long, and whether it is urgent. */
function classifyRequest(
  state: EntryState,
  request: OpenRequest,
  workClass: WorkClass,
  now: Milliseconds,
): void {
  const { runTimeEstimates: estimates } = state.requests;
  request.long = estimates.isLong(request, now);
  request.urgent = workClass.urgent && !request.long;
}

/** Returns the configured weight of the request's team, or 1 without one. */
function weightOf(state: EntryState, request: OpenRequest): number {
  const team = state.configuration?.teams
    .find((each) => each.name === request.team);
  return team !== undefined && team.weight > 0 ? team.weight : 1;
}
