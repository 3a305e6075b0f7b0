/**
 * Numbers the holders of each agent for the fencing tokens of their calls.
 *
 * @module
 */

import { FENCES_PER_EPOCH } from "../messages.ts";
import type { AgentReport } from "../messages.ts";
import type { SchedulerState } from "../state.ts";

/**
 * Gives the holder that an agent reports the next number, unless it has one.
 * Without a number left in this epoch, the agent calls its worker again once
 * another leader has taken over.
 */
export function noteHolder(
  state: SchedulerState,
  agent: string,
  { holder }: AgentReport,
): void {
  const known = state.fences.get(agent);
  if (holder === undefined || known?.holder === holder) return;
  const number = (known?.number ?? 0) + 1;
  if (number < FENCES_PER_EPOCH) {
    state.fences.set(agent, { holder, number });
    return;
  }
  state.effects.push({
    kind: "log",
    level: "warn",
    text: "An agent's calls can't be numbered.",
    fields: { agent, holder },
  });
}
