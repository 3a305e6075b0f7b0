/**
 * Queries and cancellations of attempts, sent to their agents.
 *
 * @module
 */

import type { Milliseconds } from "@dragonflyledge/model";
import { SESSION_TIMEOUT } from "@dragonflyledge/model";
import type { Emit, EntryState } from "../state.ts";
import type { OpenRequest } from "./state.ts";
import { Phase } from "./state.ts";
import { setRequestTimer } from "./wake.ts";

/** Asks the agent for the state of the attempt, and again without an answer. */
export function queryAttempt(
  state: EntryState,
  request: OpenRequest,
  now: Milliseconds,
  emit: Emit,
): void {
  const { worker, incarnation, number } = request.running!;
  request.running!.queried = true;
  const attempt = { request: request.id, number };
  const message = { kind: "queryAttempt" as const, attempt };
  emit({ kind: "send", worker, incarnation, message });
  if (request.phase !== Phase.Running) return;
  const at = Math.min(now + SESSION_TIMEOUT / 3, request.deadline);
  setRequestTimer(state, request, at);
}

/**
 * Tells the agent to cancel the attempt. An agent that has not received the
 * attempt yet refuses it when it arrives.
 */
export function cancelAttempt(request: OpenRequest, emit: Emit): void {
  const { worker, incarnation, number } = request.running!;
  const attempt = { request: request.id, number };
  const message = { kind: "cancelAttempt" as const, attempt };
  emit({ kind: "send", worker, incarnation, message });
}
