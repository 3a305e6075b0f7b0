/**
 * State of an entry that concerns its agents but no single one of them.
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

/** Agents with a free slot for a class, and whether it is observed long. */
export interface ClassIndex {
  class: ClassName;
  long: boolean;
  index: AgentIndex;
}

/** Agents of one service. */
export interface ServiceAgents {
  connected: Set<WorkerId>;
  /** Agents with as many consecutive failures as lead to quarantine. */
  failing: Set<WorkerId>;
  indexes: Map<string, ClassIndex>;
  /** Whether urgent work had to wait a short time ago. */
  peak: boolean;
  /** When the last agent of the service was lost or never known. */
  absentSince: Milliseconds | undefined;
}

export interface MembersState {
  services: Map<ServiceName, ServiceAgents>;
  /** Agents that become eligible again when some time has passed. */
  excluded: Set<WorkerId>;
  /** Workers on which each kind of work succeeded last. */
  successes: Map<string, { worker: WorkerId; at: Milliseconds }[]>;
  /** Failure domain of the entry; empty if unknown. */
  failureDomain: string;
  /** Live incarnations of entries as last seen. */
  liveEntries: Map<EntryId, Incarnation>;
  /** Services whose agents or slots changed during the current event. */
  changedServices: Set<ServiceName>;
  /** When agents that stayed away were last forgotten. */
  lastCleanupAt: Milliseconds;
}

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

/** Returns the agents of a service, without any if it is new. */
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
