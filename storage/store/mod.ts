/**
 * Interface to the platform's key-value service, its implementation over the
 * etcd JSON gateway, a guard with circuit breaker and call budget, and typed
 * records in the store.
 *
 * @module
 */

export * from "./breaker.ts";
export * from "./call_budget.ts";
export * from "./claims.ts";
export * from "./configuration_records.ts";
export * from "./etcd_store.ts";
export * from "./follow_prefix.ts";
export * from "./guarded_store.ts";
export * from "./homes_records.ts";
export * from "./job_records.ts";
export * from "./presence.ts";
export * from "./store.ts";
export * from "./value_writer.ts";
