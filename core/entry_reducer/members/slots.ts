/**
 * Counts the occupied slots of an agent between two of its reports.
 *
 * @module
 */

import type { ClassName, Milliseconds } from "@dragonflyledge/model";
import type { AgentView, EntryState } from "../state.ts";
import { reindexAgent } from "./choose_agent.ts";

/** Counts an attempt as it is sent; if it is a probe, no second one is sent. */
export function promiseSlot(
  state: EntryState,
  agent: AgentView,
  name: ClassName,
  now: Milliseconds,
): void {
  addToCount(agent.slotsPromised, name, 1);
  agent.probeAllowed = false;
  reindexAgent(state, agent, now);
}

/** Counts an accepted attempt as a used slot, as the next report will. */
export function confirmSlot(
  state: EntryState,
  agent: AgentView,
  name: ClassName,
  now: Milliseconds,
): void {
  addToCount(agent.slotsPromised, name, -1);
  agent.slotsUsed++;
  addToCount(agent.slotsByClass, name, 1);
  reindexAgent(state, agent, now);
}

/** Frees the slot of an attempt that ended, accepted or not. */
export function freeSlot(
  state: EntryState,
  agent: AgentView,
  slot: { class: ClassName; accepted: boolean },
  now: Milliseconds,
): void {
  if (slot.accepted) {
    agent.slotsUsed = Math.max(0, agent.slotsUsed - 1);
    addToCount(agent.slotsByClass, slot.class, -1);
  } else addToCount(agent.slotsPromised, slot.class, -1);
  reindexAgent(state, agent, now);
}

/**
 * Treats an agent that refused an attempt as full until its next report:
 * with `whole` for all work, and otherwise for work of the class, of which it
 * then counts as running at least `limit`.
 */
export function markFull(
  state: EntryState,
  agent: AgentView,
  fields: { class: ClassName; limit: number; whole: boolean },
  now: Milliseconds,
): void {
  if (fields.whole) {
    agent.slotsUsed = Math.max(agent.slotsUsed, agent.inventory.slots);
  } else {
    const used = agent.slotsByClass.get(fields.class) ?? 0;
    agent.slotsByClass.set(fields.class, Math.max(used, fields.limit));
  }
  reindexAgent(state, agent, now);
}

/** Adds to the count of a class; counts of zero are not kept. */
function addToCount(
  counts: Map<ClassName, number>,
  name: ClassName,
  by: number,
): void {
  const count = (counts.get(name) ?? 0) + by;
  if (count > 0) counts.set(name, count);
  else counts.delete(name);
}
