/**
 * Stand-ins for the users' platform.
 *
 * @module
 */

export { startPrograms } from "./programs.ts";
export type { Programs } from "./programs.ts";
export { startStore } from "./store_server.ts";
export type { StoreServer } from "./store_server.ts";
export { startWorker } from "./worker_server.ts";
export type { WorkerServer } from "./worker_server.ts";
