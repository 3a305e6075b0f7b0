/**
 * Table of all metrics.
 *
 * @module
 */

/** How StatsD aggregates a metric. */
export const MetricKind = {
  Counter: "counter",
  Gauge: "gauge",
  Timer: "timer",
} as const;
export type MetricKind = typeof MetricKind[keyof typeof MetricKind];

/** What a metric measures. */
export interface MetricDescription {
  kind: MetricKind;
  unit: string;
  /** Tags that are sent; others are dropped to bound the number of series. */
  tags: readonly string[];
  meaning: string;
}

const { Counter, Gauge, Timer } = MetricKind;

function describe(
  kind: MetricKind,
  unit: string,
  tags: string,
  meaning: string,
): MetricDescription {
  return { kind, unit, tags: tags.split(" ").filter(Boolean), meaning };
}

/** Every metric by name. The tag `holding` is own, borrowed or reclaimed. */
export const METRICS = {
  "requests.outcomes": describe(
    Counter,
    "requests",
    "kind reason team class",
    "Outcomes told to callers",
  ),
  "requests.queue_wait": describe(
    Timer,
    "ms",
    "team class",
    "Time from acceptance of a request to its first attempt",
  ),
  "requests.completion_time": describe(
    Timer,
    "ms",
    "team class",
    "Time from acceptance of a request to its outcome",
  ),
  "requests.queued": describe(
    Gauge,
    "requests",
    "team class",
    "Requests that wait in the queue of the entry",
  ),
  "requests.retries": describe(
    Counter,
    "attempts",
    "service cause",
    "Attempts after the first",
  ),
  "requests.late_answers_dropped": describe(
    Counter,
    "answers",
    "service",
    "Answers dropped because their caller had its outcome or had left",
  ),
  "slots.held": describe(
    Gauge,
    "slots",
    "team holding",
    "Slots of endpoints that a team holds",
  ),
  "accelerators.held": describe(
    Gauge,
    "accelerators",
    "team holding",
    "Accelerators that a team holds",
  ),
  "accelerators.fragmentation": describe(
    Gauge,
    "ratio",
    "",
    "Share of free accelerators outside the largest free blocks",
  ),
  "jobs.outcomes": describe(
    Counter,
    "jobs",
    "kind reason team class",
    "Jobs that ended",
  ),
  "jobs.queue_wait": describe(
    Timer,
    "ms",
    "team class",
    "Time from acceptance of a job to its first start",
  ),
  "jobs.queued": describe(Gauge, "jobs", "team", "Jobs that wait to be placed"),
  "jobs.preempted": describe(
    Counter,
    "jobs",
    "team by",
    "Gangs stopped because the owner of their capacity reclaimed it",
  ),
  "jobs.takeovers": describe(
    Counter,
    "jobs",
    "",
    "Jobs taken over from an entry whose lease expired",
  ),
  "store.calls": describe(
    Counter,
    "calls",
    "operation result",
    "Calls to the key-value service",
  ),
  "store.call_time": describe(
    Timer,
    "ms",
    "operation",
    "Time until the key-value service answered",
  ),
  "store.breaker": describe(
    Gauge,
    "state",
    "",
    "Circuit breaker: 0 closed, 1 half open, 2 open",
  ),
  "configuration.version": describe(
    Gauge,
    "version",
    "document",
    "Version in force in this process",
  ),
  "configuration.version_lag": describe(
    Gauge,
    "versions",
    "document",
    "Newest version seen less the version in force",
  ),
  "sessions.open": describe(Gauge, "sessions", "role", "Open sessions"),
  "sessions.heartbeats_missed": describe(
    Counter,
    "heartbeats",
    "role",
    "Heartbeats that did not arrive in time",
  ),
  "workers.excluded": describe(
    Gauge,
    "workers",
    "reason",
    "Workers that get no work: quarantined, damped or leaving",
  ),
  "invariants.violated": describe(
    Counter,
    "violations",
    "invariant",
    "Violated invariants; any value above 0 is a defect",
  ),
  "metrics.unknown": describe(
    Counter,
    "records",
    "metric",
    "Records under a name that is not in this table",
  ),
} satisfies Record<string, MetricDescription>;

/** Name of a metric, without the prefix. */
export type MetricName = keyof typeof METRICS;
