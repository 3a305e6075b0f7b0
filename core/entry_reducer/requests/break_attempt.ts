/**
 * Attempts that end without an answer and may have run.
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

/**
 * Ends an attempt that has no answer and may have run. The request is retried
 * if it is idempotent and its outcome is still wanted, and otherwise ends as
 * unknown.
 *
 * @param workerFailed whether the worker itself broke off the work, which then
 * counts as its failure; false if the agent was lost or the attempt cancelled
 */
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

/**
 * Whether anybody can still receive the outcome: the caller, or a repeat with
 * the same idempotency key.
 */
export function isOutcomeWanted(request: OpenRequest): boolean {
  return !request.callerLeft || request.request.idempotencyKey !== undefined;
}

/**
 * Returns a key for all work of this service, team and class. A failure of such
 * work counts against a worker only if others succeed with the same kind.
 */
export function workKind(request: OpenRequest): string {
  return `${request.service}\0${request.team}\0${request.class}`;
}
