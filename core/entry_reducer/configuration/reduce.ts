/**
 * Handles the events that concern configuration.
 *
 * @module
 */

import type {
  Configuration,
  EntryEvent,
  EntryMessage,
  HomesTable,
  Milliseconds,
  Versions,
  WorkerId,
} from "@dragonflyledge/model";
import { assertInvariant, Invariant, SECOND } from "@dragonflyledge/model";
import { resetIndexes } from "../members/choose_agent.ts";
import { currentAgent } from "../members/reduce.ts";
import type { AgentView, Emit, EntryState } from "../state.ts";

/** A question is repeated, to another agent, after this time. */
const FETCH_TIMEOUT = 1 * SECOND;

export function reduceConfiguration(
  state: EntryState,
  event: EntryEvent,
  emit: Emit,
): void {
  assertForward(state);
  switch (event.kind) {
    case "configurationSeen":
      acceptConfiguration(state, event.configuration, emit);
      return;
    case "homesSeen":
      acceptHomes(state, event.homes, emit);
      return;
    case "agentConnected": {
      const { hello, now } = event;
      if (hello.versions.configuration > state.sharing.accepted.configuration) {
        emit({ kind: "fetchConfiguration" });
      }
      const worker = hello.inventory?.worker ?? hello.id;
      const agent = currentAgent(state, worker, hello.incarnation);
      if (agent) fetchNewer(state, agent, hello.versions, now, emit);
      return;
    }
    case "peerVersions": {
      const agent = state.agents.get(event.worker);
      if (!agent?.connected) return;
      agent.versions = { ...event.versions };
      fetchNewer(state, agent, event.versions, event.now, emit);
      return;
    }
    case "message":
      reduceMessage(state, event, emit);
      return;
  }
}

function reduceMessage(
  state: EntryState,
  event: EntryEvent & { kind: "message" },
  emit: Emit,
): void {
  const { message, now } = event;
  if (message.kind === "configuration") {
    acceptConfiguration(state, message.configuration, emit);
    return;
  }
  if (message.kind === "homes") {
    acceptHomes(state, message.homes, emit);
    return;
  }
  const agent = currentAgent(state, event.worker, event.incarnation);
  if (agent === undefined) return;
  if (message.kind === "report") {
    fetchNewer(state, agent, message.versions, now, emit);
  } else if (message.kind === "fetch") {
    answerFetch(state, agent, message.versions, emit);
  }
}

function acceptConfiguration(
  state: EntryState,
  configuration: Configuration,
  emit: Emit,
): void {
  if (configuration.version <= state.sharing.accepted.configuration) return;
  state.configuration = configuration;
  state.sharing.accepted.configuration = configuration.version;
  for (const service of state.members.services.keys()) {
    resetIndexes(state, service);
  }
  for (const agent of outdated(state, "configuration", configuration.version)) {
    send(agent, { kind: "configuration", configuration }, emit);
  }
}

function acceptHomes(state: EntryState, homes: HomesTable, emit: Emit): void {
  if (homes.version <= state.sharing.accepted.homes) return;
  state.homes = homes;
  state.sharing.accepted.homes = homes.version;
  for (const agent of outdated(state, "homes", homes.version)) {
    send(agent, { kind: "homes", homes }, emit);
  }
}

function outdated(
  state: EntryState,
  kind: keyof Versions,
  version: number,
): AgentView[] {
  return [...state.agents.values()]
    .filter((agent) => agent.connected && agent.versions[kind] < version);
}

/** Asks one agent at a time, since every heartbeat shows the same versions. */
function fetchNewer(
  state: EntryState,
  agent: AgentView,
  versions: Versions,
  now: Milliseconds,
  emit: Emit,
): void {
  const { accepted, asked } = state.sharing;
  const newer = (than: Versions) =>
    versions.configuration > than.configuration || versions.homes > than.homes;
  if (!newer(accepted)) return;
  if (now < state.sharing.askedUntil && !newer(asked)) return;
  state.sharing.asked = { ...versions };
  state.sharing.askedUntil = now + FETCH_TIMEOUT;
  send(agent, { kind: "fetch", versions: { ...accepted } }, emit);
}

function answerFetch(
  state: EntryState,
  agent: AgentView,
  versions: Versions,
  emit: Emit,
): void {
  const { configuration, homes } = state;
  if (configuration && configuration.version > versions.configuration) {
    send(agent, { kind: "configuration", configuration }, emit);
  }
  if (homes && homes.version > versions.homes) {
    send(agent, { kind: "homes", homes }, emit);
  }
}

function send(
  agent: { worker: WorkerId; incarnation: number },
  message: EntryMessage,
  emit: Emit,
): void {
  const { worker, incarnation } = agent;
  emit({ kind: "send", worker, incarnation, message });
}

function assertForward(state: EntryState): void {
  const { accepted } = state.sharing;
  const held = {
    configuration: state.configuration?.version ?? 0,
    homes: state.homes?.version ?? 0,
  };
  assertInvariant({
    invariant: Invariant.VersionForward,
    holds: held.configuration >= accepted.configuration &&
      held.homes >= accepted.homes,
    step: "configuration",
    peer: state.id,
    detail: `versions ${JSON.stringify(held)} are lower than the accepted ` +
      JSON.stringify(accepted),
  });
}
