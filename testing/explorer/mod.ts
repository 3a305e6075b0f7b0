/**
 * Explores orders of messages between the reducers of leader and agents.
 *
 * @module
 */

export { drawPlan, OMISSIBLE } from "./draw_plan.ts";
export type { Happening, Input, Plan, Setup } from "./inputs.ts";
export { Guarantee } from "./ledger.ts";
export type { Violation } from "./ledger.ts";
export { runPlan } from "./run_plan.ts";
export type { PlanResult } from "./run_plan.ts";
