/**
 * StatsD metrics, with their names, units and tags in one table.
 *
 * @module
 */

export { createMetrics } from "./metrics.ts";
export type { MetricRecord, Metrics } from "./metrics.ts";
export { MetricKind, METRICS } from "./table.ts";
export type { MetricDescription, MetricName } from "./table.ts";
