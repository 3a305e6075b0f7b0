/**
 * Fakes of the platform's store, of endpoints, workers and connections, for
 * tests.
 *
 * @module
 */

export * from "./etcd_server.ts";
export * from "./free_port.ts";
export type { ListeningServer as Listening } from "./http.ts";
export * from "./manual_clock.ts";
export * from "./memory_model.ts";
export * from "./memory_store.ts";
export * from "./system_timer.ts";
export * from "./store_contract.ts";
export * from "./endpoint_server.ts";
export * from "./relay.ts";
export * from "./worker_server.ts";
export * from "./worker_tasks.ts";
