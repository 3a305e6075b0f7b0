/**
 * Reducer of the agent daemon: slots, attempts, reservations, gang leases and
 * reclaim.
 *
 * @module
 */

export { createAgentReducer } from "./reducer.ts";
export type { AgentReducer } from "./reducer.ts";
export type { AgentState } from "./state.ts";
