/**
 * System clock and timers, the loop that runs a reducer, and the interface for
 * logs and metrics.
 *
 * @module
 */

export * from "./elapsed_clock.ts";
export * from "./loop.ts";
export type { Observer } from "./observer.ts";
export * from "./repeat.ts";
export * from "./report_failure.ts";
export * from "./system_time.ts";
