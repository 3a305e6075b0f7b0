/**
 * Reducer of the entry daemon: requests, jobs, gangs, membership, homes and
 * configuration. It performs no input or output; it turns events into effects.
 *
 * @module
 */

export * from "./reducer.ts";
export { explainJob } from "./jobs/explain.ts";
export { jobsSettled } from "./jobs/handover.ts";
export type { AgentView, EntryState } from "./state.ts";
export { chooseAgent, eligibleAgents } from "./members/choose_agent.ts";
export { freeSlots } from "./members/free_slots.ts";
export { requestsSettled } from "./requests/settled.ts";
