/**
 * Simulated cluster: the real reducers of entries and agents, run in virtual
 * time with a fake store and with fake sessions, endpoints and workers.
 *
 * @module
 */

export * from "./agent_process.ts";
export * from "./cluster.ts";
export * from "./endpoint.ts";
export * from "./entry_process.ts";
export * from "./sessions.ts";
export * from "./store.ts";
