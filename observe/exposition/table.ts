/**
 * Table of the instruments of the programs on the users' platform.
 *
 * @module
 */

/** Kind, description and labels of an instrument. */
export interface Instrument {
  kind: "counter" | "gauge" | "histogram";
  help: string;
  labels: readonly string[];
}

/**
 * Upper bounds of the histogram buckets in seconds. They include the time
 * limits of starts (2.7 s), cancels (3 s) and acknowledgements (4 s).
 */
export const BUCKETS: readonly number[] = [
  0.005,
  0.02,
  0.05,
  0.1,
  0.25,
  0.5,
  1,
  2,
  2.7,
  3,
  4,
  8,
  20,
  60,
];

/** Every instrument by name. */
export const INSTRUMENTS = {
  requests_total: {
    kind: "counter",
    help: "Requests of callers that were answered.",
    labels: ["method", "status"],
  },
  request_seconds: {
    kind: "histogram",
    help: "Time from a whole request of a caller to its answer.",
    labels: ["method"],
  },
  store_calls_total: {
    kind: "counter",
    help: "Calls to the store by outcome; unknown ones got no answer, and " +
      "incomplete ones a part of it.",
    labels: ["call", "outcome"],
  },
  store_call_seconds: {
    kind: "histogram",
    help: "Time of calls to the store, the wait of watches included.",
    labels: ["call"],
  },
  worker_calls_total: {
    kind: "counter",
    help: "Calls of an agent to its worker by outcome.",
    labels: ["call", "outcome"],
  },
  worker_call_seconds: {
    kind: "histogram",
    help: "Time of calls to the worker, the wait of holds included.",
    labels: ["call"],
  },
  configuration_version: {
    kind: "gauge",
    help: "Version of the configuration in force, 0 before the first one.",
    labels: [],
  },
  configuration_age_seconds: {
    kind: "gauge",
    help:
      "Time since the configuration was last known to be the newest, as of " +
      "the last readiness check.",
    labels: [],
  },
  client_limits_total: {
    kind: "counter",
    help: "Times that a limit acted on clients of a listener.",
    labels: ["listener", "limit"],
  },
  worker_messages_refused_total: {
    kind: "counter",
    help:
      "Heartbeats and deregistrations that do not come from the agent's worker, by " +
      "the reason.",
    labels: ["message", "reason"],
  },
  placement_wait_seconds: {
    kind: "histogram",
    help: "Time from a task being ready to its placement.",
    labels: ["priority", "guaranteed"],
  },
  late_placements_total: {
    kind: "counter",
    help:
      "Placements of tasks that are predicted to miss their job's objective.",
    labels: ["priority", "lateness"],
  },
  worker_crashes_total: {
    kind: "counter",
    help:
      "Workers that crashed with runs, by whether none, one or several of " +
      "these had just begun.",
    labels: ["begun"],
  },
  excused_crashes_total: {
    kind: "counter",
    help: "Crashes that count only toward a task's limit of all crashes, by " +
      "the reason.",
    labels: ["excuse"],
  },
  suspicions_total: {
    kind: "counter",
    help: "Tasks suspected of crashing workers, by change of the suspicion.",
    labels: ["change"],
  },
  jobs_failed_total: {
    kind: "counter",
    help: "Jobs that failed, by the code of the failure.",
    labels: ["code"],
  },
  interfering_pairs: {
    kind: "gauge",
    help: "Pairs of kinds of tasks that are kept apart.",
    labels: [],
  },
  missing_accelerators: {
    kind: "gauge",
    help: "Accelerators that workers announced before and do not announce now.",
    labels: [],
  },
  missing_cores: {
    kind: "gauge",
    help: "Cores that workers announced before and do not announce now.",
    labels: [],
  },
  evacuated_domains: {
    kind: "gauge",
    help: "Failure domains that the operator evacuates.",
    labels: [],
  },
  workers_differ: {
    kind: "gauge",
    help: "1 if the rates of workers differ by more than chance explains.",
    labels: [],
  },
  known_rates: {
    kind: "gauge",
    help: "Workers whose rate is known.",
    labels: [],
  },
  slow_workers: {
    kind: "gauge",
    help: "Workers known to run at less than 0.8 times the median rate.",
    labels: [],
  },
  slowed_workers: {
    kind: "gauge",
    help: "Workers that are slow for some seconds.",
    labels: [],
  },
  workers_on_probation: {
    kind: "gauge",
    help: "Workers that get only probes, since their runs failed.",
    labels: [],
  },
  closed_workers: {
    kind: "gauge",
    help: "Workers off which suspects of crashes keep other tasks.",
    labels: [],
  },
  log_lines_total: {
    kind: "counter",
    help: "Lines of the log by text, those left out included.",
    labels: ["level", "text"],
  },
} as const satisfies Record<string, Instrument>;

/** Name of an instrument. */
export type InstrumentName = keyof typeof INSTRUMENTS;
