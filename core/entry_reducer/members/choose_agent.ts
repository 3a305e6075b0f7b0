/**
 * Chooses an agent for a piece of work.
 *
 * @module
 */

import type {
  Milliseconds,
  ServiceName,
  WorkClass,
  WorkerId,
} from "@dragonflyledge/model";
import type { AgentView, EntryState } from "../state.ts";
import type { AgentIndex } from "./agent_index.ts";
import { createAgentIndex } from "./agent_index.ts";
import { freeSlots } from "./free_slots.ts";
import type { ClassIndex } from "./state.ts";
import { serviceAgents } from "./state.ts";

/**
 * Whether the agent may receive new work, whether or not it has a free slot. An
 * agent whose quarantine is over may receive one piece of work as a probe.
 */
export function isEligible(agent: AgentView, now: Milliseconds): boolean {
  return agent.connected && !agent.leaving && agent.dampedUntil <= now &&
    (agent.silentUntil ?? 0) <= now &&
    (agent.quarantinedUntil === 0 ||
      (agent.quarantinedUntil <= now && agent.probeAllowed));
}

/**
 * Lists the agents of a service that may receive new work. It walks over all
 * connected agents of the service; to choose one for work, use `chooseAgent`.
 */
export function eligibleAgents(
  state: EntryState,
  service: ServiceName,
  now: Milliseconds,
): AgentView[] {
  const workers = state.members.services.get(service)?.connected ?? [];
  return [...workers].map((worker) => state.agents.get(worker)!)
    .filter((agent) => isEligible(agent, now));
}

/**
 * Chooses an agent with a free slot for the work: of two drawn at random, the
 * one with more free slots, on equal numbers one in the entry's failure domain.
 * Returns undefined if no agent has a free slot.
 */
export function chooseAgent(fields: {
  state: EntryState;
  service: ServiceName;
  workClass: WorkClass;
  /** Whether the work is observed to run far longer than other work. */
  long: boolean;
  /** Worker of an earlier attempt, chosen only if no other has a free slot. */
  avoid: WorkerId | undefined;
  now: Milliseconds;
}): AgentView | undefined {
  const { state, service, workClass, long, avoid, now } = fields;
  const index = findOrBuildIndex(state, service, workClass, long, now);
  const domain = state.members.failureDomain;
  const worker = index.choose({
    random: state.random,
    avoid,
    preferred: (id) =>
      state.agents.get(id)!.inventory.location.failureDomain === domain,
  });
  return worker === undefined ? undefined : state.agents.get(worker);
}

/** Updates the indexes of a service after any change of one of its agents. */
export function reindexAgent(
  state: EntryState,
  agent: AgentView,
  now: Milliseconds,
): void {
  const { service, worker } = agent.inventory;
  const agents = serviceAgents(state.members, service);
  state.members.changedServices.add(service);
  const eligible = isEligible(agent, now);
  if (!eligible && agent.connected && !agent.leaving) {
    state.members.excluded.add(worker);
  }
  for (const each of agents.indexes.values()) {
    each.index.set(worker, eligible ? freeSlotsFor(state, agent, each) : 0);
  }
}

/**
 * Drops the indexes of a service after a change that concerns all its agents,
 * such as a new configuration. They are built again on next use.
 */
export function resetIndexes(state: EntryState, service: ServiceName): void {
  serviceAgents(state.members, service).indexes.clear();
  state.members.changedServices.add(service);
}

/** Returns the number of agents that have a free slot for the work. */
export function countFreeAgents(
  state: EntryState,
  service: ServiceName,
  workClass: WorkClass,
  long: boolean,
  now: Milliseconds,
): number {
  return findOrBuildIndex(state, service, workClass, long, now).size;
}

function findOrBuildIndex(
  state: EntryState,
  service: ServiceName,
  workClass: WorkClass,
  long: boolean,
  now: Milliseconds,
): AgentIndex {
  const { indexes } = serviceAgents(state.members, service);
  const key = `${long} ${workClass.name}`;
  const known = indexes.get(key);
  if (known !== undefined) return known.index;
  const index = createAgentIndex();
  const classIndex = { class: workClass.name, long, index };
  indexes.set(key, classIndex);
  for (const agent of eligibleAgents(state, service, now)) {
    index.set(agent.worker, freeSlotsFor(state, agent, classIndex));
  }
  return index;
}

/** Free slots for the work of an index; at most one if a probe is allowed. */
function freeSlotsFor(
  state: EntryState,
  agent: AgentView,
  classIndex: ClassIndex,
): number {
  const configuration = state.configuration;
  const workClass = configuration?.classes
    .find((each) => each.name === classIndex.class);
  if (configuration === undefined || workClass === undefined) return 0;
  const { peak } = serviceAgents(state.members, agent.inventory.service);
  const { long } = classIndex;
  const free = freeSlots({ agent, configuration, workClass, long, peak });
  return agent.probeAllowed ? Math.min(free, 1) : free;
}
