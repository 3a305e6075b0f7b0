/**
 * Attempts on an agent whose session is lost, and that returns.
 *
 * @module
 */

import type {
  Incarnation,
  Milliseconds,
  WorkerId,
} from "@dragonflyledge/model";
import { currentAgent } from "../members/reduce.ts";
import type { Emit, EntryState } from "../state.ts";
import { queryAttempt } from "./attempt_calls.ts";
import { breakAttempt } from "./break_attempt.ts";
import { Phase } from "./state.ts";
import { setRequestTimer } from "./wake.ts";

/**
 * Handles the loss of the session with an agent. Idempotent requests are
 * retried on other workers. Others wait until their deadline for the same
 * incarnation to return, since only it knows whether they ran.
 */
export function loseAttempts(
  state: EntryState,
  worker: WorkerId,
  incarnation: Incarnation,
  now: Milliseconds,
  emit: Emit,
): void {
  for (const request of [...state.requests.byWorker.get(worker) ?? []]) {
    if (request.running?.incarnation !== incarnation) continue;
    if (request.request.idempotent || request.phase === Phase.Cancelling) {
      breakAttempt(state, request, false, now, emit);
    } else {
      request.phase = Phase.Lost;
      setRequestTimer(state, request, request.deadline);
    }
  }
}

/**
 * Handles the connection of an agent. It is asked about the attempts that were
 * sent to the same incarnation. Attempts on an earlier incarnation end and may
 * have run, since a restarted agent knows nothing of them.
 */
export function resumeAttempts(
  state: EntryState,
  worker: WorkerId,
  incarnation: Incarnation,
  now: Milliseconds,
  emit: Emit,
): void {
  if (currentAgent(state, worker, incarnation) === undefined) return;
  cancelOrphans(state, worker, incarnation, emit);
  for (const request of [...state.requests.byWorker.get(worker) ?? []]) {
    const running = request.running!;
    if (running.incarnation < incarnation) {
      breakAttempt(state, request, false, now, emit);
    } else if (running.incarnation === incarnation) {
      if (request.phase === Phase.Lost) request.phase = Phase.Running;
      queryAttempt(state, request, now, emit);
    }
  }
}

/**
 * Cancels the attempts that ended here while the agent was not connected, so
 * that they don't hold its slots.
 */
function cancelOrphans(
  state: EntryState,
  worker: WorkerId,
  incarnation: Incarnation,
  emit: Emit,
): void {
  const orphans = state.requests.orphans.get(worker);
  state.requests.orphans.delete(worker);
  if (orphans?.incarnation !== incarnation) return;
  for (const attempt of orphans.attempts) {
    const message = { kind: "cancelAttempt" as const, attempt };
    emit({ kind: "send", worker, incarnation, message });
  }
}
