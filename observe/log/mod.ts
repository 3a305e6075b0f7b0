/**
 * Structured logs with one fixed prefix for each part.
 *
 * @module
 */

export { createLog, Part } from "./log.ts";
export type { Log, LogFields } from "./log.ts";
