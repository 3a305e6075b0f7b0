/**
 * Request queues, fair shares, class limits, retry budgets and run-time estimates.
 *
 * @module
 */

export * from "./indexed_heap.ts";
export * from "./request_queue.ts";
export * from "./retry_budget.ts";
export * from "./run_time_estimates.ts";
export * from "./slot_limit.ts";
export * from "./wait_estimate.ts";
