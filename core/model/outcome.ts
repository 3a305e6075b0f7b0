/**
 * Outcomes of requests, as callers are told.
 *
 * @module
 */

/** Outcome of a request. Every request has exactly one. */
export const OutcomeKind = {
  /** The work ran, and its complete answer is available. */
  Done: "done",
  /** The endpoint answered with an error status, 400 or more. */
  Failed: "failed",
  /** The work did not run and will not run. */
  NotRun: "not-run",
  /** It is not known whether the work ran. */
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

/** The complete answer of an endpoint. */
export interface Answer {
  status: number;
  contentType: string;
  body: Uint8Array;
}

/** Outcome of a request with its answer, or the reason why there is none. */
export type Outcome =
  | { kind: "done"; answer: Answer }
  | { kind: "failed"; answer: Answer }
  /** `retryAfter` is in seconds. */
  | { kind: "not-run"; reason: Reason; retryAfter?: number }
  | { kind: "unknown"; reason: Reason };
