/**
 * Entry daemon: an HTTP server for callers and operators, sessions with agents,
 * and records in the store.
 *
 * @module
 */

export { startEntry } from "./entry.ts";
export type { Entry, EntrySettings, OpenRecords, Operator } from "./entry.ts";
export { createGuardedRecords } from "./guarded_records.ts";
export type { Records } from "./records.ts";
export { createStoreRecords } from "./store_records.ts";
