/**
 * Structured logs whose messages begin with the part of the system.
 *
 * @module
 */

export { createBoundedLog } from "./bounded_log.ts";
export { createDroppingStream } from "./dropping_stream.ts";
export { createLevels, createLog, Part } from "./log.ts";
export type { Log, LogFields } from "./log.ts";
