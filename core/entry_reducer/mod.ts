/**
 * Reducer of the entry daemon: requests, jobs, gangs, membership and
 * configuration.
 *
 * @module
 */

export * from "./reducer.ts";
export type { AgentView, EntryState } from "./state.ts";
