/**
 * Real reducers between fakes, in virtual time.
 *
 * @module
 */

export * from "./agent_process.ts";
export * from "./cluster.ts";
export * from "./endpoint.ts";
export * from "./entry_process.ts";
export * from "./sessions.ts";
export * from "./store.ts";
