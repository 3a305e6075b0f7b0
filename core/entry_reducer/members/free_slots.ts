/**
 * Counts the free slots of an agent for work of a class.
 *
 * @module
 */

import { slotLimit } from "@dragonflyledge/admission";
import type { Configuration, WorkClass } from "@dragonflyledge/model";
import type { AgentView } from "../state.ts";

/**
 * Returns the number of slots that the agent has free for work of the class.
 * Attempts that it has not yet answered count as occupied. The number serves to
 * avoid refusals only; the agent itself decides whether it accepts an attempt.
 */
export function freeSlots(fields: {
  agent: AgentView;
  configuration: Configuration;
  workClass: WorkClass;
  /** Whether the work is observed to run far longer than other work. */
  long: boolean;
  /** Whether urgent work of the service had to wait a short time ago. */
  peak: boolean;
}): number {
  const { agent, configuration, workClass, long, peak } = fields;
  const slots = agent.inventory.slots;
  const limit = slotLimit({ slots, workClass, long, peak });
  let promised = 0;
  for (const count of agent.slotsPromised.values()) promised += count;
  const free = slots - agent.slotsUsed - promised;
  if (workClass.urgent && !long) return Math.max(0, free);
  let deferrable = 0;
  for (const other of configuration.classes) {
    if (!other.urgent) deferrable += held(agent, other.name);
  }
  return Math.max(
    0,
    Math.min(
      free,
      limit.ofClass - held(agent, workClass.name),
      limit.ofDeferrable - deferrable,
    ),
  );
}

/** Slots that the class uses or has been promised. */
function held(agent: AgentView, name: string): number {
  return (agent.slotsByClass.get(name) ?? 0) +
    (agent.slotsPromised.get(name) ?? 0);
}
