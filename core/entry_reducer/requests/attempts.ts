/**
 * What agents say about attempts.
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

/** Refusals after which a request waits before it is sent again. */
const IMMEDIATE_RESEND_LIMIT = 3;

type MessageEvent = EntryEvent & { kind: "message" };

/** Handles a message about an attempt; late ones are dropped and counted. */
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

function applyRefused(
  state: EntryState,
  request: OpenRequest,
  message: AttemptRefused,
  now: Milliseconds,
  emit: Emit,
): void {
  const running = request.running!;
  const started = running.answer.pieces.size > 0;
  // The first copy of a duplicated attempt may be running.
  if (message.reason === "duplicate" || started) {
    queryAttempt(state, request, now, emit);
    return;
  }
  const { reason } = message;
  const agent = currentAgent(state, running.worker, running.incarnation);
  // Entries compete for each freed slot. With backoff, the losers would leave
  // the queue and starve; the agent counts as full until its next report.
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

/** Sends the request again after the proof that the attempt never ran. */
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

/** The work ran, but its answer is not passed on in part. */
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

/** Pieces that are still missing either come soon or were lost. */
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
      // An agent that accepted the attempt has only forgotten it.
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
