/**
 * Baselines that are replayed beside the real reducers.
 *
 * @module
 */

export { createPolicies } from "./policies.ts";
export type { Policy } from "./policies.ts";
export { replayBaseline } from "./replay_baseline.ts";
