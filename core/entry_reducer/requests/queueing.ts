/**
 * The way of a request into the queue.
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
import { wakeRequest } from "./wake.ts";

/** Class of the request in the configuration in force. */
export function classOf(
  state: EntryState,
  request: { class: string },
): WorkClass | undefined {
  return state.configuration?.classes
    .find((each) => each.name === request.class);
}

/** Queues a request for the first time, within the limit of its team. */
export function queueRequest(
  state: EntryState,
  request: OpenRequest,
  now: Milliseconds,
  emit: Emit,
): void {
  const limit = classOf(state, request)?.queueLimit ?? 0;
  if (!push(state, request, limit, now)) {
    giveUp(state, request, Reason.QueueFull, now, emit);
  }
}

/** Queues a request again; its place in the limit was granted before. */
export function requeueRequest(
  state: EntryState,
  request: OpenRequest,
  now: Milliseconds,
): void {
  push(state, request, Infinity, now);
}

/** Waits before the request is queued again. */
export function backOff(
  state: EntryState,
  request: OpenRequest,
  needsBudget: boolean,
  now: Milliseconds,
): void {
  request.phase = Phase.Backoff;
  request.needsBudget = needsBudget;
  request.retries++;
  const wait = state.requests.budget.backoff(request.retries, state.random);
  wakeRequest(state, request, Math.min(now + wait, request.deadline));
}

/** Ends a backoff, if the budget allows the retry. */
export function endBackOff(
  state: EntryState,
  request: OpenRequest,
  now: Milliseconds,
): void {
  if (request.needsBudget && !state.requests.budget.take(now)) {
    backOff(state, request, true, now);
  } else requeueRequest(state, request, now);
}

/** Why a new request would be refused now, if so. */
export function refusal(
  state: EntryState,
  request: OpenRequest,
  workClass: WorkClass,
  now: Milliseconds,
): Outcome | undefined {
  const { queue, estimates } = state.requests;
  if (queue.sizeOf(request.team, request.class) >= workClass.queueLimit) {
    return { kind: "not-run", reason: Reason.QueueFull, retryAfter: 1 };
  }
  classify(state, request, workClass, now);
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

/** Deferrable work waits for all urgent work, then for its own share. */
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
  const ahead = queue.ahead(request, { urgent, weight });
  const terms = { freeSlots, estimate, now };
  if (urgent) return load.wait.wait({ ...terms, ahead, running: load.running });
  const running = load.deferrable;
  const own = load.deferrableWait.wait({ ...terms, ahead, running });
  const before = queue.sizeOfService(service, true);
  if (before === 0 || own === undefined) return own;
  const first = { ...terms, ahead: before - 1, running: load.running };
  return own + (load.wait.wait(first) ?? 0);
}

function push(
  state: EntryState,
  request: OpenRequest,
  limit: number,
  now: Milliseconds,
): boolean {
  const workClass = classOf(state, request);
  if (workClass !== undefined) classify(state, request, workClass, now);
  const { queue, timers } = state.requests;
  const weight = weightOf(state, request);
  const pushed = queue.push(request, { urgent: request.urgent, weight, limit });
  if (!pushed) return false;
  timers.remove(request);
  request.phase = Phase.Queued;
  state.members.changedServices.add(request.service);
  return true;
}

function classify(
  state: EntryState,
  request: OpenRequest,
  workClass: WorkClass,
  now: Milliseconds,
): void {
  const { estimates } = state.requests;
  request.long = estimates.isLong(request, now);
  request.urgent = workClass.urgent && !request.long;
}

function weightOf(state: EntryState, request: OpenRequest): number {
  const team = state.configuration?.teams
    .find((each) => each.name === request.team);
  return team !== undefined && team.weight > 0 ? team.weight : 1;
}
