/**
 * The reducer of the agent daemon.
 *
 * @module
 */

import type {
  AgentEffect,
  AgentEvent,
  Configuration,
  HomesTable,
  Incarnation,
  Inventory,
  MemberReport,
} from "@dragonflyledge/model";

/** What the agent's shell needs to read for its hello and heartbeats. */
export interface AgentState {
  readonly inventory: Inventory;
  readonly incarnation: Incarnation;
  configuration: Configuration | undefined;
  homes: HomesTable | undefined;
  leaving: boolean;
  members: MemberReport[];
}

/** Applies events to the state of one agent. */
export interface AgentReducer {
  readonly state: AgentState;
  /** Updates the state in place and returns the effects to perform. */
  reduce(event: AgentEvent): AgentEffect[];
}

/** Creates the reducer with an empty state. */
export function createAgentReducer(fields: {
  inventory: Inventory;
  incarnation: Incarnation;
}): AgentReducer {
  const state: AgentState = {
    inventory: fields.inventory,
    incarnation: fields.incarnation,
    configuration: undefined,
    homes: undefined,
    leaving: false,
    members: [],
  };
  return { state, reduce: () => [] };
}
