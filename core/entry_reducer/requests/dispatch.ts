/**
 * Sends queued requests to agents with a free slot.
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
import { wakeRequest } from "./wake.ts";

/** An agent that has not answered an attempt by then is queried. */
export const ACCEPT_TIMEOUT = 1 * SECOND;
/** A peak lasts for this long after urgent work last had to wait. */
const PEAK_TIME = 5 * SECOND;
/** Assumed run time of work that was never observed. */
const UNKNOWN_RUN_TIME = 100;

/** Sends as many queued requests of the service as there are free slots. */
export function dispatchService(
  state: EntryState,
  service: ServiceName,
  now: Milliseconds,
  emit: Emit,
): void {
  const { queue } = state.requests;
  dropUnknown(state, service, now, emit);
  const choice = createChoice(state, service, now);
  while (true) {
    const request = queue.next(service, choice.exists);
    if (request === undefined) break;
    sendAttempt(state, request, choice.take(request), now, emit);
  }
  if (queue.sizeOfService(service, true) > 0) startPeak(state, service, now);
}

/** Agents drawn during one dispatch, one for each class, long or not. */
function createChoice(
  state: EntryState,
  service: ServiceName,
  now: Milliseconds,
) {
  const drawn = new Map<string, AgentView | undefined>();
  const draw = (request: OpenRequest): AgentView | undefined => {
    const workClass = classOf(state, request);
    if (workClass === undefined) return undefined;
    const { avoid, long } = request;
    return chooseAgent({ state, service, workClass, long, avoid, now });
  };
  const find = (request: OpenRequest): AgentView | undefined => {
    const variant = `${request.long} ${request.class}`;
    if (!drawn.has(variant)) drawn.set(variant, draw(request));
    return drawn.get(variant);
  };
  return {
    exists: (request: OpenRequest) => find(request) !== undefined,
    take(request: OpenRequest): AgentView {
      const agent = find(request)!;
      // Variants without an agent have none after this either.
      for (const [variant, each] of drawn) if (each) drawn.delete(variant);
      // The one drawn for all may be the one that this request must avoid.
      return agent.worker === request.avoid ? draw(request) ?? agent : agent;
    },
  };
}

/** Ends peaks during which no urgent work has waited for some time. */
export function endPeaks(state: EntryState, now: Milliseconds): void {
  for (const [service, load] of state.requests.loads) {
    const agents = serviceAgents(state.members, service);
    if (!agents.peak || now < load.peakUntil) continue;
    agents.peak = false;
    resetIndexes(state, service);
  }
}

function startPeak(
  state: EntryState,
  service: ServiceName,
  now: Milliseconds,
): void {
  serviceLoad(state.requests, service).peakUntil = now + PEAK_TIME;
  const agents = serviceAgents(state.members, service);
  if (agents.peak) return;
  agents.peak = true;
  resetIndexes(state, service);
}

/** Ends queued requests whose service or class was removed meanwhile. */
function dropUnknown(
  state: EntryState,
  service: ServiceName,
  now: Milliseconds,
  emit: Emit,
): void {
  const { checkedConfiguration, queue } = state.requests;
  const version = state.configuration?.version;
  if (checkedConfiguration.get(service) === version) return;
  checkedConfiguration.set(service, version);
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

/** Service of the request in the configuration in force. */
export function serviceOf(
  state: EntryState,
  request: { service: ServiceName },
): Service | undefined {
  return state.configuration?.services
    .find((each) => each.name === request.service);
}

function sendAttempt(
  state: EntryState,
  request: OpenRequest,
  agent: AgentView,
  now: Milliseconds,
  emit: Emit,
): void {
  assertMaySend(request, agent);
  const { requests } = state;
  const estimate = requests.estimates.estimate(request, now);
  const cost = estimate?.median ?? UNKNOWN_RUN_TIME;
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
  if (request.attempts === 1) requests.budget.firstAttempt(now);
  const here = requests.byWorker.get(agent.worker) ?? new Set();
  requests.byWorker.set(agent.worker, here.add(request));
  const load = serviceLoad(requests, request.service);
  load.running++;
  if (!request.urgent) load.deferrable++;
  promiseSlot(state, agent, request.class, now);
  wakeRequest(state, request, Math.min(now + ACCEPT_TIMEOUT, request.deadline));
  countAttempt(request, now, emit);
  emitAttempt(state, request, now, emit);
}

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
    detail: `request ${request.id} chose an agent that is leaving or lost`,
  });
}
