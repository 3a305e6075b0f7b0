/**
 * Agent daemon of one worker: passes requests of the entries to the endpoint,
 * and runs tasks on the worker.
 *
 * @module
 */

export { startAgent } from "./agent.ts";
export type { Agent, AgentSettings } from "./agent.ts";
