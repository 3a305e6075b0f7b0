/**
 * Exclusion of agents whose sessions break again and again.
 *
 * @module
 */

import type { Milliseconds } from "@dragonflyledge/model";
import { MAX_DAMPING_DURATION, MINUTE, SECOND } from "@dragonflyledge/model";
import type { AgentView } from "../state.ts";

/** Losses that are longer ago are forgotten. */
const LOSS_MEMORY = 5 * MINUTE;
const FIRST_DAMPING = 1 * SECOND;

/** Records a loss. The first one in a while has no consequence. */
export function dampAgent(agent: AgentView, now: Milliseconds): void {
  agent.losses = agent.losses.filter((at) => now - at < LOSS_MEMORY);
  agent.losses.push(now);
  const repeats = agent.losses.length - 1;
  if (repeats === 0) return;
  const time = FIRST_DAMPING * 2 ** Math.min(repeats - 1, 20);
  agent.dampedUntil = now + Math.min(time, MAX_DAMPING_DURATION);
}
