/**
 * Attempts that end without an answer.
 *
 * @module
 */

import type { Milliseconds } from "@dragonflyledge/model";
import { Reason } from "@dragonflyledge/model";
import { currentAgent } from "../members/reduce.ts";
import { recordFailure } from "../members/work_health.ts";
import type { Emit, EntryState } from "../state.ts";
import { endAttempt } from "./end_attempt.ts";
import { giveUp } from "./finish.ts";
import { backOff } from "./queueing.ts";
import type { OpenRequest } from "./state.ts";
import { Phase } from "./state.ts";

/** Ends an attempt without proof that it did not run. */
export function breakAttempt(
  state: EntryState,
  request: OpenRequest,
  workerFailed: boolean,
  now: Milliseconds,
  emit: Emit,
): void {
  const { worker, incarnation } = request.running!;
  const cancelling = request.phase === Phase.Cancelling;
  endAttempt(state, request, now);
  request.mayHaveRun = true;
  request.avoid = worker;
  const agent = currentAgent(state, worker, incarnation);
  if (workerFailed && agent) {
    recordFailure(state, agent, workKind(request), now, emit);
  }
  if (cancelling) giveUp(state, request, Reason.DeadlinePassed, now, emit);
  else if (request.request.idempotent && isOutcomeWanted(request)) {
    backOff(state, request, true, now);
  } else {
    const reason = workerFailed ? Reason.ConnectionLost : Reason.WorkerLost;
    giveUp(state, request, reason, now, emit);
  }
}

/** A request without a key is of no use once its caller has left. */
export function isOutcomeWanted(request: OpenRequest): boolean {
  return !request.callerLeft || request.request.idempotencyKey !== undefined;
}

/** Work for which a failure on one worker and a success on another compare. */
export function workKind(request: OpenRequest): string {
  return `${request.service}\0${request.team}\0${request.class}`;
}
