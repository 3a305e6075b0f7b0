/**
 * Handles the events that concern the agents and the other entries.
 *
 * @module
 */

import type {
  EntryEvent,
  EntryPresence,
  Hello,
  Milliseconds,
  Report,
  WorkerId,
} from "@dragonflyledge/model";
import { MINUTE } from "@dragonflyledge/model";
import { auditWorker } from "../audit.ts";
import type { AgentView, Emit, EntryState } from "../state.ts";
import { isEligible, reindexAgent } from "./choose_agent.ts";
import { allowProbeAfterTimeout } from "./work_health.ts";
import { recordLoss } from "./damping.ts";
import { readmitSilentAgent } from "./silence.ts";
import { serviceAgents } from "./state.ts";

/** Records of agents absent for longer are removed; most VMs never return. */
const AGENT_RETENTION = 10 * MINUTE;
const CLEANUP_INTERVAL = 1 * MINUTE;

/** Applies one event to what the entry knows about agents and other entries. */
export function reduceMembers(
  state: EntryState,
  event: EntryEvent,
  emit: Emit,
): void {
  switch (event.kind) {
    case "tick":
      readmitAgents(state, event.now);
      removeStaleRecords(state, event.now);
      return;
    case "agentConnected":
      connectAgent(state, event.hello, event.now, emit);
      return;
    case "agentLost":
      loseAgent(state, event.worker, event.incarnation, event.now, emit);
      return;
    case "message": {
      const { message, now, worker, incarnation } = event;
      const agent = currentAgent(state, worker, incarnation);
      if (agent === undefined) return;
      readmitSilentAgent(state, agent, now);
      if (message.kind === "report") applyReport(state, agent, message, now);
      return;
    }
    case "entriesSeen":
      applyEntries(state, event.entries, emit);
      return;
    case "leaseRenewed":
      state.leaseValidUntil = Math.max(
        state.leaseValidUntil,
        event.validUntil,
      );
      return;
    case "drainRequested":
      drainAgent(state, event.worker, emit);
      auditWorker(state, {
        kind: "drain",
        worker: event.worker,
        reason: "an operator asked for it",
      }, emit);
      return;
  }
}

/** Returns the agent if it is connected with the given incarnation. */
export function currentAgent(
  state: EntryState,
  worker: string,
  incarnation: number,
): AgentView | undefined {
  const agent = state.agents.get(worker);
  return agent?.connected && agent.incarnation === incarnation
    ? agent
    : undefined;
}

function connectAgent(
  state: EntryState,
  hello: Hello,
  now: Milliseconds,
  emit: Emit,
): void {
  if (hello.inventory === undefined) return;
  const worker = hello.inventory.worker;
  const known = state.agents.get(worker);
  if (known !== undefined && known.incarnation > hello.incarnation) {
    emit({ kind: "disconnect", worker, incarnation: hello.incarnation });
    return;
  }
  if (known?.inventory.service !== hello.inventory.service && known) {
    removeFromService(state, known, now);
  }
  const agent = known?.incarnation === hello.incarnation
    ? known
    : createAgent(hello, known);
  agent.inventory = hello.inventory;
  agent.connected = true;
  agent.connectedAt = now;
  agent.versions = { ...hello.versions };
  agent.members = hello.members ?? agent.members;
  state.agents.set(worker, agent);
  const agents = serviceAgents(state.members, agent.inventory.service);
  agents.connected.add(worker);
  agents.absentSince = undefined;
  reindexAgent(state, agent, now);
  if (state.entries.length > 0) sendEntries(state, agent, emit);
}

/** Creates a new incarnation, which keeps the record of losses and failures. */
function createAgent(hello: Hello, known: AgentView | undefined): AgentView {
  return {
    worker: hello.inventory!.worker,
    incarnation: hello.incarnation,
    inventory: hello.inventory!,
    connected: true,
    connectedAt: 0,
    lostAt: known?.lostAt ?? 0,
    leaving: false,
    versions: { ...hello.versions },
    slotsUsed: 0,
    slotsByClass: new Map(),
    slotsPromised: new Map(),
    members: [],
    usage: { cores: 0, memoryMiB: 0, age: 0 },
    reportedAt: 0,
    losses: known?.losses ?? [],
    dampedUntil: known?.dampedUntil ?? 0,
    failures: known?.failures ?? 0,
    quarantinedUntil: known?.quarantinedUntil ?? 0,
    probeAllowed: (known?.quarantinedUntil ?? 0) > 0,
  };
}

function loseAgent(
  state: EntryState,
  worker: string,
  incarnation: number,
  now: Milliseconds,
  emit: Emit,
): void {
  const agent = currentAgent(state, worker, incarnation);
  if (agent === undefined) return;
  agent.connected = false;
  agent.lostAt = now;
  if (!agent.leaving) recordLoss(agent, now);
  if (agent.dampedUntil > now) {
    const fields = { worker, time: agent.dampedUntil - now };
    const text = "Worker excluded for a time: its sessions keep breaking.";
    emit({ kind: "log", level: "warn", text, fields });
  }
  removeFromService(state, agent, now);
}

function removeFromService(
  state: EntryState,
  agent: AgentView,
  now: Milliseconds,
): void {
  const agents = serviceAgents(state.members, agent.inventory.service);
  agents.connected.delete(agent.worker);
  agents.failing.delete(agent.worker);
  if (agents.connected.size === 0) agents.absentSince ??= now;
  for (const { index } of agents.indexes.values()) index.set(agent.worker, 0);
  state.members.changedServices.add(agent.inventory.service);
}

function applyReport(
  state: EntryState,
  agent: AgentView,
  report: Report,
  now: Milliseconds,
): void {
  agent.leaving = report.leaving;
  agent.versions = { ...report.versions };
  agent.slotsUsed = report.slotsUsed;
  agent.slotsByClass = new Map(Object.entries(report.slotsByClass));
  agent.members = report.members;
  agent.usage = report.usage;
  agent.reportedAt = now;
  reindexAgent(state, agent, now);
}

function applyEntries(
  state: EntryState,
  entries: EntryPresence[],
  emit: Emit,
): void {
  const describe = (each: EntryPresence) =>
    `${each.id} ${each.incarnation} ${each.address}`;
  const before = state.entries.map(describe).sort().join("\n");
  const after = entries.map(describe).sort().join("\n");
  state.entries = entries;
  state.members.liveEntries = new Map(
    entries.map((each) => [each.id, each.incarnation]),
  );
  if (before === after) return;
  for (const agent of state.agents.values()) {
    if (agent.connected) sendEntries(state, agent, emit);
  }
}

function drainAgent(state: EntryState, worker: WorkerId, emit: Emit): void {
  const agent = state.agents.get(worker);
  if (!agent?.connected) {
    const text = "Worker not drained: it is not connected.";
    emit({ kind: "log", level: "warn", text, fields: { worker } });
    return;
  }
  const { incarnation } = agent;
  emit({ kind: "send", worker, incarnation, message: { kind: "drain" } });
}

function sendEntries(state: EntryState, agent: AgentView, emit: Emit): void {
  const entries = state.entries.map(({ id, address }) => ({ id, address }));
  const { worker, incarnation } = agent;
  const message = { kind: "entries" as const, entries };
  emit({ kind: "send", worker, incarnation, message });
}

/** Updates the indexes for agents whose exclusion is over. */
function readmitAgents(state: EntryState, now: Milliseconds): void {
  for (const worker of state.members.excluded) {
    const agent = state.agents.get(worker);
    if (agent?.connected) allowProbeAfterTimeout(state, agent, now);
    if (agent?.connected && !isEligible(agent, now)) continue;
    state.members.excluded.delete(worker);
    if (agent?.connected) reindexAgent(state, agent, now);
  }
}

/** Removes the records of long absent agents, and old successes. */
function removeStaleRecords(state: EntryState, now: Milliseconds): void {
  if (now - state.members.lastCleanupAt < CLEANUP_INTERVAL) return;
  state.members.lastCleanupAt = now;
  for (const [worker, agent] of state.agents) {
    if (!agent.connected && now - agent.lostAt > AGENT_RETENTION) {
      state.agents.delete(worker);
      state.requests.orphans.delete(worker);
    }
  }
  for (const [workKind, list] of state.members.successes) {
    if (list.every((each) => now - each.at > AGENT_RETENTION)) {
      state.members.successes.delete(workKind);
    }
  }
}
