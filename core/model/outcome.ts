/**
 * What a caller is told.
 *
 * @module
 */

/** Outcome of a request. Every request has exactly one. */
export const OutcomeKind = {
  /** The work ran, and this is its whole answer. */
  Done: "done",
  /** The endpoint answered with an error. */
  Failed: "failed",
  /** The work did not run and will not run. */
  NotRun: "not-run",
  /** The work may have run. */
  Unknown: "unknown",
} as const;
export type OutcomeKind = typeof OutcomeKind[keyof typeof OutcomeKind];

/** Why work did not run, or why its outcome is unknown. */
export const Reason = {
  QueueFull: "queue-full",
  DeadlinePassed: "deadline-passed",
  DeadlineUnreachable: "deadline-unreachable",
  NoEndpoint: "no-endpoint",
  RetriesExhausted: "retries-exhausted",
  StoreUnavailable: "store-unavailable",
  ShuttingDown: "shutting-down",
  Cancelled: "cancelled",
  NeverFits: "never-fits",
  QuotaExceeded: "quota-exceeded",
  UnknownService: "unknown-service",
  UnknownClass: "unknown-class",
  UnknownTeam: "unknown-team",
  KeyReused: "key-reused",
  ConnectionLost: "connection-lost",
  WorkerLost: "worker-lost",
  TooManyFailures: "too-many-failures",
  OwnershipLost: "ownership-lost",
  AnswerTooLong: "answer-too-long",
} as const;
export type Reason = typeof Reason[keyof typeof Reason];

/** Answer of an endpoint. */
export interface Answer {
  status: number;
  contentType: string;
  body: Uint8Array;
}

export type Outcome =
  | { kind: "done"; answer: Answer }
  | { kind: "failed"; answer: Answer }
  | { kind: "not-run"; reason: Reason; retryAfter?: number }
  | { kind: "unknown"; reason: Reason };
