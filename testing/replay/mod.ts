/**
 * Trace replay in virtual time, baselines and slopes.
 *
 * @module
 */

export * from "./deployment.ts";
export * from "./event_heap.ts";
export * from "./record.ts";
export * from "./replay.ts";
export * from "./trace/trace.ts";
