/**
 * Scheduler for jobs that consist of steps: reducer, placement and preemption.
 *
 * @module
 */

export {
  capacityOf,
  isEqualCapacity,
  largestOf,
  missingCapacity,
} from "./order/capacity.ts";
export { countOnProbation } from "./health/worker_health.ts";
export { LOSS_MARGIN } from "./end/agent_loss.ts";
export { decodeOrders, decodeReport } from "./decode.ts";
export * from "./job.ts";
export * from "./messages.ts";
export { isAmount, isCount } from "./guards.ts";
export { checkJobRequest, isProgressOf } from "./record/job_record.ts";
export * from "./record/records.ts";
export * from "./record/store_keys.ts";
export { countClosed } from "./place/isolation.ts";
export { SETTLE_TIME } from "./place/suspects.ts";
export { createScheduler } from "./reducer.ts";
export type { Scheduler } from "./reducer.ts";
export { Lateness } from "./effects.ts";
export type { SchedulerEffect } from "./effects.ts";
export type {
  Policies,
  SchedulerEvent,
  SchedulerState,
  SchedulerTimes,
} from "./state.ts";
