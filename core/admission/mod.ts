/**
 * Request queues, fair shares, class limits, retry budgets and run-time estimates.
 *
 * @module
 */

export {};
