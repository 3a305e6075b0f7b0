/**
 * Structured logs with one fixed prefix for each part.
 *
 * @module
 */

export { createBoundedLog } from "./bounded_log.ts";
export { createDroppingStream } from "./dropping_stream.ts";
export { createLevels, createLog, Part } from "./log.ts";
export type { Log, LogFields } from "./log.ts";
