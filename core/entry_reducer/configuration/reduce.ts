/**
 * Exchange of configuration and homes table with agents, so that all processes
 * reach the highest version even while the store is down.
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

/** After this time without an answer, another agent may be asked. */
const FETCH_TIMEOUT = 1 * SECOND;

/**
 * Applies one event: accepts newer documents, sends them to agents with older
 * ones, and fetches newer ones from agents that have them.
 */
export function reduceConfiguration(
  state: EntryState,
  event: EntryEvent,
  emit: Emit,
): void {
  assertVersionsForward(state);
  switch (event.kind) {
    case "configurationSeen":
      acceptConfiguration(state, event.configuration, emit);
      return;
    case "homesSeen":
      acceptHomes(state, event.homes, emit);
      return;
    case "agentConnected": {
      const { hello, now } = event;
      if (
        hello.versions.configuration >
          state.configurationState.accepted.configuration
      ) {
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

/** Makes a newer configuration the current one, and sends it to agents. */
function acceptConfiguration(
  state: EntryState,
  configuration: Configuration,
  emit: Emit,
): void {
  if (
    configuration.version <= state.configurationState.accepted.configuration
  ) return;
  state.configuration = configuration;
  state.configurationState.accepted.configuration = configuration.version;
  for (const service of state.members.services.keys()) {
    resetIndexes(state, service);
  }
  for (
    const agent of outdatedAgents(state, "configuration", configuration.version)
  ) {
    sendTo(agent, { kind: "configuration", configuration }, emit);
  }
}

/** Makes a newer homes table the current one, and sends it to agents. */
function acceptHomes(state: EntryState, homes: HomesTable, emit: Emit): void {
  if (homes.version <= state.configurationState.accepted.homes) return;
  state.homes = homes;
  state.configurationState.accepted.homes = homes.version;
  for (const agent of outdatedAgents(state, "homes", homes.version)) {
    sendTo(agent, { kind: "homes", homes }, emit);
  }
}

/** Returns the connected agents that have a lower version of the document. */
function outdatedAgents(
  state: EntryState,
  kind: keyof Versions,
  version: number,
): AgentView[] {
  return [...state.agents.values()]
    .filter((agent) => agent.connected && agent.versions[kind] < version);
}

/**
 * Asks the agent for documents if it has newer versions than this entry. Only
 * one agent is asked at a time, since the heartbeats of all agents soon show
 * the same new versions.
 */
function fetchNewer(
  state: EntryState,
  agent: AgentView,
  versions: Versions,
  now: Milliseconds,
  emit: Emit,
): void {
  const { accepted, asked } = state.configurationState;
  const newer = (than: Versions) =>
    versions.configuration > than.configuration || versions.homes > than.homes;
  if (!newer(accepted)) return;
  if (now < state.configurationState.askedUntil && !newer(asked)) return;
  state.configurationState.asked = { ...versions };
  state.configurationState.askedUntil = now + FETCH_TIMEOUT;
  sendTo(agent, { kind: "fetch", versions: { ...accepted } }, emit);
}

/** Sends the agent each document of which it has a lower version. */
function answerFetch(
  state: EntryState,
  agent: AgentView,
  versions: Versions,
  emit: Emit,
): void {
  const { configuration, homes } = state;
  if (configuration && configuration.version > versions.configuration) {
    sendTo(agent, { kind: "configuration", configuration }, emit);
  }
  if (homes && homes.version > versions.homes) {
    sendTo(agent, { kind: "homes", homes }, emit);
  }
}

function sendTo(
  agent: { worker: WorkerId; incarnation: number },
  message: EntryMessage,
  emit: Emit,
): void {
  const { worker, incarnation } = agent;
  emit({ kind: "send", worker, incarnation, message });
}

/** Checks that no version is lower than one that was accepted before. */
function assertVersionsForward(state: EntryState): void {
  const { accepted } = state.configurationState;
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
