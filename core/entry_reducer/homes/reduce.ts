/**
 * Handles the events that concern the homes table.
 *
 * @module
 */

import {
  assertInvariant,
  Invariant,
  SECOND,
  WORKER_LOSS_DELAY,
} from "@dragonflyledge/model";
import type {
  EntryEvent,
  HomesTable,
  Inventory,
  Milliseconds,
} from "@dragonflyledge/model";
import { assignHomes } from "@dragonflyledge/placement";
import { auditHomes } from "../audit.ts";
import { rendezvous } from "../jobs/rendezvous.ts";
import type { AgentView, Emit, EntryState } from "../state.ts";

/** Wait after a change, so that joins of many workers lead to one table. */
const batchDelay: Milliseconds = 300;
/** Mean wait after a failed write; the wait varies by half, at random. */
const retryDelay: Milliseconds = 1000;

/**
 * Computes the homes table anew when the configuration or the set of workers
 * changes. Only the entry that rendezvous hashing selects does so. It adopts
 * the new table only after the store has accepted it.
 */
export function reduceHomes(
  state: EntryState,
  event: EntryEvent,
  emit: Emit,
): void {
  const { homesState: homing } = state;
  homing.startedAt ??= event.now;
  switch (event.kind) {
    case "homesSeen":
      return adopt(state, event.homes);
    case "message":
      if (event.message.kind === "homes") adopt(state, event.message.homes);
      if (event.message.kind !== "report" || !event.message.leaving) return;
      if (homing.leavingWorkers.has(event.worker)) return;
      homing.leavingWorkers.add(event.worker);
      return markDirty(state, event.now);
    case "agentLost":
      homing.removalTimes.push(event.now + WORKER_LOSS_DELAY);
      return;
    case "homesWritten":
      return applyWriteResult(state, event, emit);
    case "agentConnected":
      homing.leavingWorkers.delete(event.hello.id);
      return markDirty(state, event.now);
    case "configurationSeen":
    case "entriesSeen":
      return markDirty(state, event.now);
    case "tick":
      return updateHomes(state, event.now, emit);
  }
}

/** Has the homes computed again, once `batchDelay` has passed. */
function markDirty(
  { homesState: homing }: EntryState,
  now: Milliseconds,
): void {
  if (homing.dirty) return;
  homing.dirty = true;
  homing.notBefore = Math.max(homing.notBefore, now + batchDelay);
}

/** Adopts a table of the store or of an agent if its version is higher. */
function adopt(state: EntryState, homes: HomesTable): void {
  const current = state.homes?.version ?? 0;
  if (homes.version <= current) return;
  state.homes = homes;
  state.homesState.dirty = true;
}

function applyWriteResult(
  state: EntryState,
  event: Extract<EntryEvent, { kind: "homesWritten" }>,
  emit: Emit,
): void {
  const { homesState: homing } = state;
  const { pendingTable } = homing;
  if (pendingTable?.version !== event.version) return;
  homing.pendingTable = undefined;
  if (event.result !== "stored") {
    // After a conflict, the table that the store holds arrives as `homesSeen`.
    homing.dirty = true;
    homing.notBefore = event.now + retryDelay * (0.5 + state.random());
    return;
  }
  const current = state.homes?.version ?? 0;
  if (pendingTable.version <= current) return;
  assertInvariant({
    invariant: Invariant.VersionForward,
    holds: state.homes === undefined ||
      pendingTable.configurationVersion >= state.homes.configurationVersion,
    step: "adopt homes",
    peer: state.id,
    detail: `homes table ${pendingTable.version} is of an older configuration`,
  });
  auditHomes(state, { before: state.homes, after: pendingTable }, emit);
  state.homes = pendingTable;
}

/** Computes the homes if they may differ, and writes the table if they do. */
function updateHomes(state: EntryState, now: Milliseconds, emit: Emit): void {
  const { homesState: homing, configuration, homes: previous } = state;
  while ((homing.removalTimes[0] ?? Infinity) <= now) {
    homing.removalTimes.shift();
    homing.dirty = true;
  }
  // A table of another entry may be based on fewer workers.
  if (homing.checkedTable !== state.homes) homing.dirty = true;
  if (!homing.dirty || homing.pendingTable !== undefined) return;
  if (now < homing.notBefore || state.stopping) return;
  if (configuration === undefined) return;
  homing.notBefore = now + batchDelay;
  const nodes = state.entries.map((entry) => entry.id);
  if (rendezvous({ key: "homes", nodes }) !== state.id) return;
  if (previous && previous.configurationVersion > configuration.version) {
    return;
  }
  if (isAwaitingWorkers(state, now)) return;
  homing.dirty = false;
  homing.checkedTable = previous;
  const inventories: Inventory[] = [];
  for (const agent of state.agents.values()) {
    if (isPresent(agent, now)) inventories.push(agent.inventory);
  }
  const version = (previous?.version ?? 0) + 1;
  const table = assignHomes({ configuration, inventories, previous, version });
  if (previous !== undefined && assignsSameHomes(previous, table)) return;
  homing.pendingTable = table;
  emit({ kind: "writeHomes", homes: table });
}

/**
 * Whether to wait for workers to connect to an entry that has just started.
 * Without them, homes that are valid would move or vanish from the table.
 */
function isAwaitingWorkers(state: EntryState, now: Milliseconds): boolean {
  const startedAt = state.homesState.startedAt ?? now;
  if (now >= startedAt + WORKER_LOSS_DELAY) return false;
  if (state.homes === undefined) return now < startedAt + SECOND;
  return state.homes.homes.some((home) =>
    home.parts.some((part) => !state.agents.has(part.worker))
  );
}

/** Whether the worker may have homes; a short loss does not move them. */
function isPresent(agent: AgentView, now: Milliseconds): boolean {
  if (agent.leaving) return false;
  return agent.connected || now < agent.lostAt + WORKER_LOSS_DELAY;
}

function assignsSameHomes(a: HomesTable, b: HomesTable): boolean {
  return a.configurationVersion === b.configurationVersion &&
    JSON.stringify([a.homes, a.unplaced]) ===
      JSON.stringify([b.homes, b.unplaced]);
}
