/**
 * What an entry knows about its agents as a group. What it knows about a single
 * agent is in `AgentView`.
 *
 * @module
 */

import type {
  ClassName,
  EntryId,
  Incarnation,
  Milliseconds,
  ServiceName,
  WorkerId,
} from "@dragonflyledge/model";
import type { AgentIndex } from "./agent_index.ts";

/** Index of the agents of a service with a free slot for work of a class. */
export interface ClassIndex {
  class: ClassName;
  /** Whether it is for work observed to run far longer than other work. */
  long: boolean;
  index: AgentIndex;
}

/** What an entry knows about the agents of one service. */
export interface ServiceAgents {
  connected: Set<WorkerId>;
  /** Agents with at least `QUARANTINE_FAILURES` consecutive failures. */
  failing: Set<WorkerId>;
  /** By class and whether the work is long; each is built on first use. */
  indexes: Map<string, ClassIndex>;
  /** Whether urgent work had to wait a short time ago; limits other work. */
  peak: boolean;
  /** Since when no agent was found connected; undefined while one is. */
  absentSince: Milliseconds | undefined;
}

/** What an entry knows about its agents and about the other entries. */
export interface MembersState {
  services: Map<ServiceName, ServiceAgents>;
  /** Connected agents that get no new work until some time has passed. */
  excluded: Set<WorkerId>;
  /** For each kind of work, the last two workers on which it succeeded. */
  successes: Map<string, { worker: WorkerId; at: Milliseconds }[]>;
  /** Failure domain of this entry; empty if unknown. */
  failureDomain: string;
  /** Incarnations of the live entries, as last seen in the store. */
  liveEntries: Map<EntryId, Incarnation>;
  /** Services whose agents, slots or queue changed during the current event. */
  changedServices: Set<ServiceName>;
  /** When records of absent agents and old successes were last removed. */
  lastCleanupAt: Milliseconds;
}

/** Creates the state of an entry that knows no agents yet. */
export function createMembersState(failureDomain: string): MembersState {
  return {
    services: new Map(),
    excluded: new Set(),
    successes: new Map(),
    failureDomain,
    liveEntries: new Map(),
    changedServices: new Set(),
    lastCleanupAt: 0,
  };
}

/** Returns the record of a service, and adds an empty one if it is new. */
export function serviceAgents(
  members: MembersState,
  service: ServiceName,
): ServiceAgents {
  let agents = members.services.get(service);
  if (agents === undefined) {
    agents = {
      connected: new Set(),
      failing: new Set(),
      indexes: new Map(),
      peak: false,
      absentSince: undefined,
    };
    members.services.set(service, agents);
  }
  return agents;
}
