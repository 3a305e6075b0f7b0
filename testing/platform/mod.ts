/**
 * Stand-ins for the users' store and workers, and the real programs running
 * against them.
 *
 * @module
 */

export { BORROWER_KEY, createConfiguration } from "./configuration.ts";
export { startPrograms } from "./programs.ts";
export type { ProgramProcess, Programs } from "./programs.ts";
export { startStore } from "./store_server.ts";
export type { StoreServer } from "./store_server.ts";
export { SLOWEST_CLOCK_RATE, startWorker } from "./worker_server.ts";
export type { WaitingCall, WorkerServer } from "./worker_server.ts";
