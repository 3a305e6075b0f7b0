/**
 * Excludes agents whose sessions break again and again.
 *
 * @module
 */

import type { Milliseconds } from "@dragonflyledge/model";
import { MAX_DAMPING_DURATION, MINUTE, SECOND } from "@dragonflyledge/model";
import type { AgentView } from "../state.ts";

/** Losses that are longer ago do not count. */
const LOSS_RETENTION = 5 * MINUTE;
const FIRST_DAMPING = 1 * SECOND;

/**
 * Records the loss of a session. The first one within `LOSS_RETENTION` has no
 * consequence. After further ones the agent gets no new work for a time that
 * doubles with each, up to `DAMPING_LIMIT`.
 */
export function recordLoss(agent: AgentView, now: Milliseconds): void {
  agent.losses = agent.losses.filter((at) => now - at < LOSS_RETENTION);
  agent.losses.push(now);
  const repeats = agent.losses.length - 1;
  if (repeats === 0) return;
  const time = FIRST_DAMPING * 2 ** Math.min(repeats - 1, 20);
  agent.dampedUntil = now + Math.min(time, MAX_DAMPING_DURATION);
}
