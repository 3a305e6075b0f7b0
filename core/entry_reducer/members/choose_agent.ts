/**
 * Choice of an agent for a piece of work.
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

/** Whether the agent may receive new work at all. */
export function isEligible(agent: AgentView, now: Milliseconds): boolean {
  return agent.connected && !agent.leaving && agent.dampedUntil <= now &&
    (agent.silentUntil ?? 0) <= now &&
    (agent.quarantinedUntil === 0 ||
      (agent.quarantinedUntil <= now && agent.probing));
}

/** Agents of a service that may receive new work; a walk over all of them. */
export function eligibleAgents(
  state: EntryState,
  service: ServiceName,
  now: Milliseconds,
): AgentView[] {
  const workers = state.members.services.get(service)?.connected ?? [];
  return [...workers].map((worker) => state.agents.get(worker)!)
    .filter((agent) => isEligible(agent, now));
}

/** Chooses an agent with a free slot for the work, or none. */
export function chooseAgent(fields: {
  state: EntryState;
  service: ServiceName;
  workClass: WorkClass;
  long: boolean;
  /** Worker of an earlier attempt. */
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

/** Updates the indexes after any change of an agent. */
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
  for (const variant of agents.indexes.values()) {
    variant.index.set(
      worker,
      eligible ? freeSlotsFor(state, agent, variant) : 0,
    );
  }
}

/** Drops the indexes of a service; they are built again when needed. */
export function resetIndexes(state: EntryState, service: ServiceName): void {
  serviceAgents(state.members, service).indexes.clear();
  state.members.changedServices.add(service);
}

/** Number of agents that have a free slot for the work. */
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
  const { indexes: variants } = serviceAgents(state.members, service);
  const name = `${long} ${workClass.name}`;
  const known = variants.get(name);
  if (known !== undefined) return known.index;
  const index = createAgentIndex();
  const variant = { class: workClass.name, long, index };
  variants.set(name, variant);
  for (const agent of eligibleAgents(state, service, now)) {
    index.set(agent.worker, freeSlotsFor(state, agent, variant));
  }
  return index;
}

function freeSlotsFor(
  state: EntryState,
  agent: AgentView,
  variant: ClassIndex,
): number {
  const configuration = state.configuration;
  const workClass = configuration?.classes
    .find((each) => each.name === variant.class);
  if (configuration === undefined || workClass === undefined) return 0;
  const { peak } = serviceAgents(state.members, agent.inventory.service);
  const { long } = variant;
  const free = freeSlots({ agent, configuration, workClass, long, peak });
  return agent.probing ? Math.min(free, 1) : free;
}
