/**
 * Messages of agents about attempts.
 *
 * @module
 */

import type {
  Answer,
  AttemptAnswer,
  AttemptId,
  AttemptRefused,
  AttemptState,
  EntryEvent,
  Milliseconds,
} from "@dragonflyledge/model";
import { Reason, SESSION_TIMEOUT } from "@dragonflyledge/model";
import { currentAgent } from "../members/reduce.ts";
import { reindexAgent } from "../members/choose_agent.ts";
import { confirmSlot, markFull } from "../members/slots.ts";
import { recordFailure, recordSuccess } from "../members/work_health.ts";
import type { Emit, EntryState } from "../state.ts";
import {
  addPiece,
  ANSWER_LIMIT,
  isWhole,
  joinPieces,
} from "./answer_pieces.ts";
import { cancelAttempt, queryAttempt } from "./attempt_calls.ts";
import { breakAttempt, isOutcomeWanted, workKind } from "./break_attempt.ts";
import { endAttempt } from "./end_attempt.ts";
import { finishRequest, giveUp } from "./finish.ts";
import { backOff, requeueRequest } from "./queueing.ts";
import type { OpenRequest, RunningAttempt } from "./state.ts";
import { Phase } from "./state.ts";
import { setRequestTimer } from "./wake.ts";

/** A request that was refused more often backs off before it is sent again. */
const IMMEDIATE_RESEND_LIMIT = 3;

type MessageEvent = EntryEvent & { kind: "message" };

/**
 * Handles a message about an attempt. A message about an attempt that has ended
 * here, or from another worker or incarnation, is dropped and counted.
 */
export function reduceAttemptMessage(
  state: EntryState,
  event: MessageEvent,
  emit: Emit,
): void {
  const { message, now } = event;
  if (!("attempt" in message)) return;
  const request = findRunning(state, event, message.attempt);
  if (request === undefined) {
    const tags = { message: message.kind };
    const metric = "requests.late_answers_dropped";
    emit({ kind: "count", metric, value: 1, tags });
    return;
  }
  switch (message.kind) {
    case "attemptAccepted":
      return applyAccepted(state, request, now);
    case "attemptRefused":
      return applyRefused(state, request, message, now, emit);
    case "attemptAnswer":
      return applyAnswer(state, request, message, now, emit);
    case "attemptBroken":
      return breakAttempt(state, request, true, now, emit);
    case "attemptState":
      return applyState(state, request, message.state, now, emit);
  }
}

/** Returns the request whose running attempt the message is about, if any. */
function findRunning(
  state: EntryState,
  event: MessageEvent,
  attempt: AttemptId,
): OpenRequest | undefined {
  const request = state.requests.open.get(attempt.request);
  const running = request?.running;
  return running?.number === attempt.number &&
      running.worker === event.worker &&
      running.incarnation === event.incarnation
    ? request
    : undefined;
}

/** Records that the agent accepted the attempt, and waits for the deadline. */
function applyAccepted(
  state: EntryState,
  request: OpenRequest,
  now: Milliseconds,
): void {
  const running = request.running!;
  if (running.accepted) return;
  running.accepted = true;
  const agent = state.agents.get(running.worker);
  if (agent?.incarnation === running.incarnation) {
    confirmSlot(state, agent, request.class, now);
  }
  if (request.phase === Phase.Running) {
    setRequestTimer(state, request, request.deadline);
  }
}

/**
 * Handles an agent's refusal. It proves that the attempt never ran, unless the
 * agent refused a second copy of it.
 */
function applyRefused(
  state: EntryState,
  request: OpenRequest,
  message: AttemptRefused,
  now: Milliseconds,
  emit: Emit,
): void {
  const running = request.running!;
  const started = running.answer.pieces.size > 0;
  // The first copy of an attempt that was delivered twice may be running.
  if (message.reason === "duplicate" || started) {
    queryAttempt(state, request, now, emit);
    return;
  }
  const { reason } = message;
  const agent = currentAgent(state, running.worker, running.incarnation);
  // Several entries compete for each slot that becomes free. If the requests
  // that lose backed off, they would be out of the queue when the next slot
  // becomes free, and starve. Instead the agent counts as full until its next
  // report.
  const isFull = reason === "busy" || reason === "class-limit";
  if (!isFull) request.refusals++;
  handleNotRun(state, request, now, emit);
  if (agent === undefined) return;
  if (reason === "unreachable") {
    recordFailure(state, agent, workKind(request), now, emit);
  } else if (reason === "leaving") {
    agent.leaving = true;
    reindexAgent(state, agent, now);
  } else if (isFull) {
    const full = {
      class: request.class,
      limit: running.classSlots,
      whole: reason === "busy",
    };
    markFull(state, agent, full, now);
  }
}

/**
 * Ends an attempt that provably never ran, and sends the request again unless
 * it is past its deadline or its outcome is no longer wanted.
 */
function handleNotRun(
  state: EntryState,
  request: OpenRequest,
  now: Milliseconds,
  emit: Emit,
): void {
  const { worker } = request.running!;
  const cancelling = request.phase === Phase.Cancelling;
  endAttempt(state, request, now, false);
  request.avoid = worker;
  if (cancelling) giveUp(state, request, Reason.DeadlinePassed, now, emit);
  else if (!isOutcomeWanted(request)) {
    giveUp(state, request, Reason.Cancelled, now, emit);
  } else if (request.refusals <= IMMEDIATE_RESEND_LIMIT) {
    requeueRequest(state, request, now);
  } else backOff(state, request, false, now);
}

/** Adds a piece of the answer, and ends the request once all have arrived. */
function applyAnswer(
  state: EntryState,
  request: OpenRequest,
  message: AttemptAnswer,
  now: Milliseconds,
  emit: Emit,
): void {
  applyAccepted(state, request, now);
  const running = request.running!;
  addPiece(running.answer, message);
  if (running.answer.size > ANSWER_LIMIT) {
    endOversizedAnswer(state, request, now, emit);
  } else if (isWhole(running.answer)) {
    completeAttempt(state, request, running, now, emit);
  } else if (message.last) awaitMissingPieces(state, request, now);
}

/** Ends a request whose answer exceeds `ANSWER_LIMIT`; no part is passed on. */
function endOversizedAnswer(
  state: EntryState,
  request: OpenRequest,
  now: Milliseconds,
  emit: Emit,
): void {
  cancelAttempt(request, emit);
  const reason = Reason.AnswerTooLong;
  finishRequest(state, request, { kind: "unknown", reason }, now, emit);
}

/**
 * Waits for pieces that are missing after the agent has sent the whole answer.
 * After `SESSION_TIMEOUT` they count as lost.
 */
function awaitMissingPieces(
  state: EntryState,
  request: OpenRequest,
  now: Milliseconds,
): void {
  const running = request.running!;
  running.giveUpAt = Math.min(running.giveUpAt, now + SESSION_TIMEOUT);
  if (request.phase !== Phase.Running) return;
  const at = Math.min(running.giveUpAt, request.deadline);
  setRequestTimer(state, request, at);
}

/** Ends the request with its whole answer, and records the worker's success. */
function completeAttempt(
  state: EntryState,
  request: OpenRequest,
  running: RunningAttempt,
  now: Milliseconds,
  emit: Emit,
): void {
  const whole: Answer = joinPieces(running.answer, request.id);
  const agent = currentAgent(state, running.worker, running.incarnation);
  const kind = whole.status < 400 ? "done" : "failed";
  // The run time of failing work says nothing about work that succeeds.
  if (kind === "done") {
    state.requests.runTimeEstimates.observe(request, now - running.sentAt, now);
  }
  if (agent && kind === "done") {
    recordSuccess(state, agent, workKind(request), now);
  } else if (agent && whole.status >= 500) {
    recordFailure(state, agent, workKind(request), now, emit);
  }
  finishRequest(state, request, { kind, answer: whole }, now, emit);
}

/** Handles the agent's answer to a query or to a cancellation. */
function applyState(
  state: EntryState,
  request: OpenRequest,
  attemptState: AttemptState["state"],
  now: Milliseconds,
  emit: Emit,
): void {
  const running = request.running!;
  running.queried = false;
  switch (attemptState) {
    case "absent":
      // An agent that accepted the attempt may have run it and forgotten it.
      if (!running.accepted) return handleNotRun(state, request, now, emit);
      return breakAttempt(state, request, false, now, emit);
    case "running":
      applyAccepted(state, request, now);
      if (request.phase === Phase.Running) {
        const at = Math.min(running.giveUpAt, request.deadline);
        setRequestTimer(state, request, at);
      }
      return;
    case "done":
      applyAccepted(state, request, now);
      return awaitMissingPieces(state, request, now);
    case "broken":
      return breakAttempt(state, request, true, now, emit);
    case "cancelled":
      return breakAttempt(state, request, false, now, emit);
  }
}
