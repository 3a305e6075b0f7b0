/**
 * Daemon that runs an entry on the users' platform.
 *
 * @module
 */

export { startEntry } from "./entry.ts";
export type { RunningEntry } from "./entry.ts";
