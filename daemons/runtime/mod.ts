/**
 * System clock and timers, and the loop that runs a reducer.
 *
 * @module
 */

export * from "./loop.ts";
export type { Observer } from "./observer.ts";
export * from "./report_failure.ts";
export * from "./system_time.ts";
