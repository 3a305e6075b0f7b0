/**
 * Error codes, errors and invariants of the system.
 *
 * @module
 */

/** Codes of errors. A code never changes its meaning. */
export const ErrorCode = {
  Settings: "DFL_SETTINGS",
  Configuration: "DFL_CONFIGURATION",
  ConfigurationConflict: "DFL_CONFIGURATION_CONFLICT",
  Frame: "DFL_FRAME",
  Message: "DFL_MESSAGE",
  Protocol: "DFL_PROTOCOL",
  Session: "DFL_SESSION",
  Timeout: "DFL_TIMEOUT",
  StoreUnavailable: "DFL_STORE_UNAVAILABLE",
  StoreAnswer: "DFL_STORE_ANSWER",
  StoreBudget: "DFL_STORE_BUDGET",
  Endpoint: "DFL_ENDPOINT",
  Worker: "DFL_WORKER",
  Placement: "DFL_PLACEMENT",
  Invariant: "DFL_INVARIANT",
  Usage: "DFL_USAGE",
} as const;
export type ErrorCode = typeof ErrorCode[keyof typeof ErrorCode];

/** Error that names the step at which and the peer with which it occurred. */
export class StepError extends Error {
  readonly code: ErrorCode;
  readonly step: string;
  readonly peer: string;
  /** What the reader can do about it; may be empty. */
  readonly hint: string;

  constructor(fields: {
    code: ErrorCode;
    step: string;
    peer: string;
    message: string;
    hint?: string;
    cause?: unknown;
  }) {
    super(fields.message, { cause: fields.cause });
    this.name = "StepError";
    this.code = fields.code;
    this.step = fields.step;
    this.peer = fields.peer;
    this.hint = fields.hint ?? "";
  }
}

/** Names of the invariants that the program asserts at run time. */
export const Invariant = {
  GuaranteeReclaimable: "guarantee-reclaimable",
  GangWhole: "gang-whole",
  AnswerWhole: "answer-whole",
  NotRunTrue: "not-run-true",
  AtMostOnce: "at-most-once",
  NoWorkAfterLeaving: "no-work-after-leaving",
  DrainWhole: "drain-whole",
  VersionForward: "version-forward",
  WithinCapacity: "within-capacity",
  OneOutcome: "one-outcome",
  NoLostJob: "no-lost-job",
  NoEndlessWait: "no-endless-wait",
} as const;
export type Invariant = typeof Invariant[keyof typeof Invariant];

/**
 * Throws a `StepError` with code `DFL_INVARIANT` unless `holds`.
 */
export function assertInvariant(fields: {
  invariant: Invariant;
  holds: boolean;
  step: string;
  peer: string;
  detail: string;
}): void {
  if (fields.holds) return;
  throw new StepError({
    code: ErrorCode.Invariant,
    step: fields.step,
    peer: fields.peer,
    message: `invariant ${fields.invariant} violated: ${fields.detail}`,
    hint: "This is a defect. Keep the log and report it.",
  });
}
