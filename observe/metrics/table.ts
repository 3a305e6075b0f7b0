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

/** Kind, unit, tags and meaning of a metric. */
export interface MetricDescription {
  kind: MetricKind;
  unit: string;
  /** Tags that are sent; others are dropped to limit the number of series. */
  tags: readonly string[];
  meaning: string;
}

const { Counter, Gauge, Timer } = MetricKind;

/** Creates a description; `tags` is a list separated by spaces. */
function describe(
  kind: MetricKind,
  unit: string,
  tags: string,
  meaning: string,
): MetricDescription {
  return { kind, unit, tags: tags.split(" ").filter(Boolean), meaning };
}

/** All metrics by name. The tag `holding` is own, borrowed or reclaimed. */
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
    "service",
    "Attempts after the first",
  ),
  "requests.late_answers_dropped": describe(
    Counter,
    "messages",
    "message",
    "Messages of attempts dropped because their caller had its outcome or had left",
  ),
  "slots.held": describe(
    Gauge,
    "slots",
    "team",
    "Slots of endpoints that a team holds through this entry",
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
    "Share of free accelerators on workers that are partly in use",
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
    "Time from the last queueing of a job to its start",
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
    "operation",
    "Calls to the key-value service",
  ),
  "store.failures": describe(
    Counter,
    "calls",
    "code step",
    "Operations on the key-value service that failed",
  ),
  "claims.dropped": describe(
    Counter,
    "outcomes",
    "",
    "Outcomes of keyed requests that were not stored during an outage",
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
    "step",
    "Violated invariants; any value above 0 is a defect",
  ),
  "versions.ignored": describe(
    Counter,
    "documents",
    "kind",
    "Documents ignored because a newer version is in force",
  ),
  "answers.dropped": describe(
    Counter,
    "answers",
    "cause",
    "Answers that an agent dropped, because their entry stayed away or the budget for kept answers was used up",
  ),
  "attempts.refused": describe(
    Counter,
    "attempts",
    "reason",
    "Attempts that an agent refused",
  ),
  "attempts.expired": describe(
    Counter,
    "attempts",
    "",
    "Attempts that an agent ended at their deadline",
  ),
  "runs.taken-over": describe(
    Counter,
    "runs",
    "",
    "Gangs that another entry took over with a higher epoch",
  ),
  "runs.adopted": describe(
    Counter,
    "runs",
    "",
    "Gangs whose members an agent found on its worker at its start",
  ),
  "runs.displaced": describe(
    Counter,
    "runs",
    "",
    "Gangs stopped by a reservation with a higher epoch",
  ),
  "leases.lapsed": describe(
    Counter,
    "leases",
    "",
    "Leases of gangs that ran out",
  ),
  "members.ended": describe(
    Counter,
    "members",
    "ending",
    "Members that ended on the worker",
  ),
  "members.throttled": describe(
    Counter,
    "members",
    "",
    "Members throttled for using more than they declared",
  ),
  "memory.exceeded": describe(
    Counter,
    "readings",
    "",
    "Readings of usage above the declared memory",
  ),
  "reclaims": describe(
    Counter,
    "gangs",
    "by",
    "Reclaims of borrowed capacity on the worker",
  ),
  "reservations.dropped": describe(
    Counter,
    "reservations",
    "cause",
    "Reservations that ended without a commit",
  ),
  "reservations.refused": describe(
    Counter,
    "reservations",
    "reason",
    "Reservations that an agent refused",
  ),
  "worker.unreachable": describe(
    Counter,
    "calls",
    "",
    "Readings of usage that the worker did not answer",
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
