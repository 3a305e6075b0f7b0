/**
 * Simple scheduling policies that replay the same traces as the program's
 * reducers, for comparison.
 *
 * @module
 */

export { createPolicies } from "./policies.ts";
export type { Policy } from "./policies.ts";
export { replayBaseline } from "./replay_baseline.ts";
