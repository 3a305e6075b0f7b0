/**
 * Store interface, its circuit breaker, call budget and etcd JSON gateway
 * adapter, and typed records over it.
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
