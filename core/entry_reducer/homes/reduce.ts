/**
 * Handles the events that concern homes.
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

/** Joins of many workers at once lead to one table. */
const settleTime: Milliseconds = 300;
const retryDelay: Milliseconds = 1000;

/**
 * Recomputes the table when the configuration or the set of workers changes.
 * The entry that wins the rendezvous does it; a new table is adopted only
 * after it is stored.
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
      return take(state, event.homes);
    case "message":
      if (event.message.kind === "homes") take(state, event.message.homes);
      if (event.message.kind !== "report" || !event.message.leaving) return;
      if (homing.leaving.has(event.worker)) return;
      homing.leaving.add(event.worker);
      return markDirty(state, event.now);
    case "agentLost":
      homing.losses.push(event.now + WORKER_LOSS_DELAY);
      return;
    case "homesWritten":
      return takeWritten(state, event, emit);
    case "agentConnected":
      homing.leaving.delete(event.hello.id);
      return markDirty(state, event.now);
    case "configurationSeen":
    case "entriesSeen":
      return markDirty(state, event.now);
    case "tick":
      return compute(state, event.now, emit);
  }
}

function markDirty(
  { homesState: homing }: EntryState,
  now: Milliseconds,
): void {
  if (homing.dirty) return;
  homing.dirty = true;
  homing.notBefore = Math.max(homing.notBefore, now + settleTime);
}

function take(state: EntryState, homes: HomesTable): void {
  const current = state.homes?.version ?? 0;
  if (homes.version <= current) return;
  state.homes = homes;
  state.homesState.dirty = true;
}

function takeWritten(
  state: EntryState,
  event: Extract<EntryEvent, { kind: "homesWritten" }>,
  emit: Emit,
): void {
  const { homesState: homing } = state;
  const { writing } = homing;
  if (writing?.version !== event.version) return;
  homing.writing = undefined;
  if (event.result !== "stored") {
    // After a conflict the winning table arrives as `homesSeen`.
    homing.dirty = true;
    homing.notBefore = event.now + retryDelay * (0.5 + state.random());
    return;
  }
  const current = state.homes?.version ?? 0;
  if (writing.version <= current) return;
  assertInvariant({
    invariant: Invariant.VersionForward,
    holds: state.homes === undefined ||
      writing.configurationVersion >= state.homes.configurationVersion,
    step: "adopt homes",
    peer: state.id,
    detail: `homes ${writing.version} of an older configuration`,
  });
  auditHomes(state, { before: state.homes, after: writing }, emit);
  state.homes = writing;
}

function compute(state: EntryState, now: Milliseconds, emit: Emit): void {
  const { homesState: homing, configuration, homes: previous } = state;
  while ((homing.losses[0] ?? Infinity) <= now) {
    homing.losses.shift();
    homing.dirty = true;
  }
  // A table of another entry may be based on fewer workers.
  if (homing.checked !== state.homes) homing.dirty = true;
  if (!homing.dirty || homing.writing !== undefined) return;
  if (now < homing.notBefore || state.stopping) return;
  if (configuration === undefined) return;
  homing.notBefore = now + settleTime;
  const nodes = state.entries.map((entry) => entry.id);
  if (rendezvous({ key: "homes", nodes }) !== state.id) return;
  if (previous && previous.configurationVersion > configuration.version) {
    return;
  }
  if (isWaiting(state, now)) return;
  homing.dirty = false;
  homing.checked = previous;
  const inventories: Inventory[] = [];
  for (const agent of state.agents.values()) {
    if (isPresent(agent, now)) inventories.push(agent.inventory);
  }
  const version = (previous?.version ?? 0) + 1;
  const table = assignHomes({ configuration, inventories, previous, version });
  if (previous !== undefined && isEqual(previous, table)) return;
  homing.writing = table;
  emit({ kind: "writeHomes", homes: table });
}

/** Workers of the table may not have connected to an entry that just started. */
function isWaiting(state: EntryState, now: Milliseconds): boolean {
  const startedAt = state.homesState.startedAt ?? now;
  if (now >= startedAt + WORKER_LOSS_DELAY) return false;
  if (state.homes === undefined) return now < startedAt + SECOND;
  return state.homes.homes.some((home) =>
    home.parts.some((part) => !state.agents.has(part.worker))
  );
}

function isPresent(agent: AgentView, now: Milliseconds): boolean {
  if (agent.leaving) return false;
  return agent.connected || now < agent.lostAt + WORKER_LOSS_DELAY;
}

function isEqual(a: HomesTable, b: HomesTable): boolean {
  return a.configurationVersion === b.configurationVersion &&
    JSON.stringify([a.homes, a.unplaced]) ===
      JSON.stringify([b.homes, b.unplaced]);
}
