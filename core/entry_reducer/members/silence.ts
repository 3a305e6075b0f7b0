/**
 * Agents that do not answer although their session is open.
 *
 * @module
 */

import type { Milliseconds } from "@dragonflyledge/model";
import { SECOND } from "@dragonflyledge/model";
import type { AgentView, EntryState } from "../state.ts";
import { reindexAgent } from "./choose_agent.ts";

/** Renewed while attempts on a silent agent remain unanswered. */
const SILENCE_EXCLUSION_DURATION = 1 * SECOND;

/** Sends the agent no new work for a short time. */
export function excludeSilentAgent(
  state: EntryState,
  agent: AgentView,
  now: Milliseconds,
): void {
  agent.silentUntil = now + SILENCE_EXCLUSION_DURATION;
  reindexAgent(state, agent, now);
}

/** Ends the exclusion of an agent that was heard. */
export function readmitSilentAgent(
  state: EntryState,
  agent: AgentView,
  now: Milliseconds,
): void {
  if (agent.silentUntil === undefined) return;
  agent.silentUntil = undefined;
  reindexAgent(state, agent, now);
}
