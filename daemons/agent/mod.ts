/**
 * Agent daemon beside one endpoint: forwards requests and runs tasks on the
 * worker.
 *
 * @module
 */

export { startAgent } from "./agent.ts";
export type { Agent, AgentSettings } from "./agent.ts";
