/**
 * Agent of a worker on the users' platform.
 *
 * @module
 */

export { startAgent } from "./agent.ts";
export type { RunningAgent } from "./agent.ts";
