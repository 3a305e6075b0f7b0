/**
 * Request queues with fair shares, slot limits of classes, retry budgets,
 * run-time estimates and early refusal. Nothing here does input or output.
 *
 * @module
 */

export * from "./indexed_heap.ts";
export * from "./request_queue.ts";
export * from "./retry_budget.ts";
export * from "./run_time_estimates.ts";
export * from "./slot_limit.ts";
export * from "./wait_estimate.ts";
