/**
 * Agents that do not answer although their session is open.
 *
 * @module
 */

import type { Milliseconds } from "@dragonflyledge/model";
import { SECOND } from "@dragonflyledge/model";
import type { AgentView, EntryState } from "../state.ts";
import { reindexAgent } from "./choose_agent.ts";

/** The exclusion is renewed while attempts on the agent remain unanswered. */
const SILENCE_EXCLUSION_DURATION = 1 * SECOND;

/** Sends the agent no new work until it is heard or a short time is over. */
export function excludeSilentAgent(
  state: EntryState,
  agent: AgentView,
  now: Milliseconds,
): void {
  agent.silentUntil = now + SILENCE_EXCLUSION_DURATION;
  reindexAgent(state, agent, now);
}

/** Ends the exclusion of a silent agent after any message from it. */
export function readmitSilentAgent(
  state: EntryState,
  agent: AgentView,
  now: Milliseconds,
): void {
  if (agent.silentUntil === undefined) return;
  agent.silentUntil = undefined;
  reindexAgent(state, agent, now);
}
