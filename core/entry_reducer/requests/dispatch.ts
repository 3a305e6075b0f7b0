/**
 * Dispatch of queued requests to agents with a free slot.
 *
 * @module
 */

import { slotLimit } from "@dragonflyledge/admission";
import type { Milliseconds, Service, ServiceName } from "@dragonflyledge/model";
import {
  assertInvariant,
  Invariant,
  Reason,
  SECOND,
} from "@dragonflyledge/model";
import { chooseAgent, resetIndexes } from "../members/choose_agent.ts";
import { promiseSlot } from "../members/slots.ts";
import { serviceAgents } from "../members/state.ts";
import type { AgentView, Emit, EntryState } from "../state.ts";
import { createAnswerPieces } from "./answer_pieces.ts";
import { giveUp } from "./finish.ts";
import { classOf } from "./queueing.ts";
import type { OpenRequest } from "./state.ts";
import { Phase, serviceLoad } from "./state.ts";
import { setRequestTimer } from "./wake.ts";

/** An agent that has not answered an attempt by then counts as silent. */
export const ACCEPT_TIMEOUT = 1 * SECOND;
/** A peak ends when no urgent work has had to wait for this long. */
const PEAK_DURATION = 5 * SECOND;
/** Run time, in milliseconds, charged for work that was never observed. */
const DEFAULT_RUN_TIME = 100;

/**
 * Sends queued requests of the service while agents have free slots for them.
 * If urgent requests remain queued, a peak begins or is prolonged.
 */
export function dispatchService(
  state: EntryState,
  service: ServiceName,
  now: Milliseconds,
  emit: Emit,
): void {
  const { queue } = state.requests;
  endUnconfiguredRequests(state, service, now, emit);
  const choice = createAgentChoice(state, service, now);
  while (true) {
    const request = queue.next(service, choice.exists);
    if (request === undefined) break;
    sendAttempt(state, request, choice.take(request), now, emit);
  }
  if (queue.sizeOfService(service, true) > 0) startPeak(state, service, now);
}

/**
 * Chooses agents during one dispatch. The choice is made once for each variant
 * (class, and whether the work is long) and kept until an agent is taken.
 */
function createAgentChoice(
  state: EntryState,
  service: ServiceName,
  now: Milliseconds,
) {
  const chosen = new Map<string, AgentView | undefined>();
  const choose = (request: OpenRequest): AgentView | undefined => {
    const workClass = classOf(state, request);
    if (workClass === undefined) return undefined;
    const { avoid, long } = request;
    return chooseAgent({ state, service, workClass, long, avoid, now });
  };
  const find = (request: OpenRequest): AgentView | undefined => {
    const variant = `${request.long} ${request.class}`;
    if (!chosen.has(variant)) chosen.set(variant, choose(request));
    return chosen.get(variant);
  };
  return {
    exists: (request: OpenRequest) => find(request) !== undefined,
    take(request: OpenRequest): AgentView {
      const agent = find(request)!;
      // The slot that is taken may have been the choice of other variants.
      // Variants without an agent have none afterwards either, so they stay.
      for (const [variant, each] of chosen) if (each) chosen.delete(variant);
      // The choice for the variant may be the worker that this request avoids.
      return agent.worker === request.avoid ? choose(request) ?? agent : agent;
    },
  };
}

/** Ends the peak of each service whose urgent work no longer has to wait. */
export function endPeaks(state: EntryState, now: Milliseconds): void {
  for (const [service, load] of state.requests.loads) {
    const agents = serviceAgents(state.members, service);
    if (!agents.peak || now < load.peakUntil) continue;
    agents.peak = false;
    resetIndexes(state, service);
  }
}

/** Limits deferrable work of the service while urgent work has to wait. */
function startPeak(
  state: EntryState,
  service: ServiceName,
  now: Milliseconds,
): void {
  serviceLoad(state.requests, service).peakUntil = now + PEAK_DURATION;
  const agents = serviceAgents(state.members, service);
  if (agents.peak) return;
  agents.peak = true;
  resetIndexes(state, service);
}

/** Refuses queued requests whose service or class a configuration removed. */
function endUnconfiguredRequests(
  state: EntryState,
  service: ServiceName,
  now: Milliseconds,
  emit: Emit,
): void {
  const { checkedVersions, queue } = state.requests;
  const version = state.configuration?.version;
  if (checkedVersions.get(service) === version) return;
  checkedVersions.set(service, version);
  if (queue.size === 0) return;
  for (const request of [...state.requests.open.values()]) {
    if (request.phase !== Phase.Queued || request.service !== service) continue;
    if (serviceOf(state, request) === undefined) {
      giveUp(state, request, Reason.UnknownService, now, emit);
    } else if (classOf(state, request) === undefined) {
      giveUp(state, request, Reason.UnknownClass, now, emit);
    }
  }
}

/** Returns the service of the request in the current configuration, if any. */
export function serviceOf(
  state: EntryState,
  request: { service: ServiceName },
): Service | undefined {
  return state.configuration?.services
    .find((each) => each.name === request.service);
}

/** Takes the request from the queue and sends its next attempt to the agent. */
function sendAttempt(
  state: EntryState,
  request: OpenRequest,
  agent: AgentView,
  now: Milliseconds,
  emit: Emit,
): void {
  assertMaySend(request, agent);
  const { requests } = state;
  const estimate = requests.runTimeEstimates.estimate(request, now);
  const cost = estimate?.median ?? DEFAULT_RUN_TIME;
  const { long } = request;
  const workClass = classOf(state, request)!;
  const { peak } = serviceAgents(state.members, request.service);
  const { slots } = agent.inventory;
  request.attempts++;
  request.phase = Phase.Running;
  request.running = {
    number: request.attempts,
    worker: agent.worker,
    incarnation: agent.incarnation,
    sentAt: now,
    accepted: false,
    queried: false,
    giveUpAt: Infinity,
    urgent: request.urgent,
    charge: requests.queue.take(request, cost),
    classSlots: slotLimit({ slots, workClass, long, peak }).ofClass,
    answer: createAnswerPieces(),
  };
  if (request.attempts === 1) requests.retryBudget.recordFirstAttempt(now);
  const onWorker = requests.byWorker.get(agent.worker) ?? new Set();
  requests.byWorker.set(agent.worker, onWorker.add(request));
  const load = serviceLoad(requests, request.service);
  load.running++;
  if (!request.urgent) load.deferrable++;
  promiseSlot(state, agent, request.class, now);
  setRequestTimer(
    state,
    request,
    Math.min(now + ACCEPT_TIMEOUT, request.deadline),
  );
  countAttempt(request, now, emit);
  emitAttempt(state, request, now, emit);
}

/** Counts a retry, or the wait of a request from its arrival to now. */
function countAttempt(
  request: OpenRequest,
  now: Milliseconds,
  emit: Emit,
): void {
  if (request.attempts > 1) {
    const tags = { service: request.service };
    emit({ kind: "count", metric: "requests.retries", value: 1, tags });
    return;
  }
  const tags = { team: request.team, class: request.class };
  const value = now - request.arrivedAt;
  emit({ kind: "count", metric: "requests.queue_wait", value, tags });
}

function emitAttempt(
  state: EntryState,
  request: OpenRequest,
  now: Milliseconds,
  emit: Emit,
): void {
  const { worker, incarnation, number, classSlots } = request.running!;
  const { service, team, idempotent, contentType, body } = request.request;
  emit({
    kind: "send",
    worker,
    incarnation,
    message: {
      kind: "attempt",
      attempt: { request: request.id, number },
      incarnation,
      service,
      path: serviceOf(state, request)!.path,
      team,
      class: request.class,
      urgent: request.urgent,
      classSlots,
      remaining: request.deadline - now,
      idempotent,
      contentType,
      body,
    },
  });
}

function assertMaySend(request: OpenRequest, agent: AgentView): void {
  assertInvariant({
    invariant: Invariant.AtMostOnce,
    holds: request.running === undefined &&
      (request.request.idempotent || !request.mayHaveRun),
    step: "dispatch",
    peer: agent.worker,
    detail: `attempt ${request.attempts} of request ${request.id} may have run`,
  });
  assertInvariant({
    invariant: Invariant.NoWorkAfterLeaving,
    holds: agent.connected && !agent.leaving,
    step: "dispatch",
    peer: agent.worker,
    detail:
      `request ${request.id} was given to an agent that is leaving or lost`,
  });
}
