/**
 * Record of what the fakes observed during a run, from which figures and global
 * checks are computed.
 *
 * @module
 */

import type {
  EntryId,
  JobId,
  JobSpec,
  Milliseconds,
  Outcome,
  RequestId,
  SubmissionAnswer,
  WorkerId,
} from "@dragonflyledge/model";

/** A call that an endpoint began to serve. */
export interface Execution {
  request: RequestId;
  worker: WorkerId;
  start: Milliseconds;
  /** Infinite while it runs. */
  end: Milliseconds;
  ending: "running" | "done" | "failed" | "aborted" | "lost";
}

/** A request as its caller and the endpoints observed it. */
export interface RequestRecord {
  id: RequestId;
  team: string;
  class: string;
  urgent: boolean;
  client: number;
  idempotent: boolean;
  idempotencyKey?: string;
  entry: EntryId;
  sentAt: Milliseconds;
  /** Absolute time. */
  deadline: Milliseconds;
  runTime: Milliseconds;
  /** Whether it reached its entry while the entry ran. */
  delivered: boolean;
  callerLeft: boolean;
  /** The entry ended before it answered. */
  entryDied: boolean;
  outcomes: { at: Milliseconds; outcome: Outcome }[];
  executions: Execution[];
}

/** A run of a gang member on a worker. */
export interface MemberRun {
  job: JobId;
  epoch: number;
  member: number;
  worker: WorkerId;
  accelerators: number[];
  start: Milliseconds;
  end: Milliseconds;
  ending: "running" | "finished" | "failed" | "stopped" | "lease" | "lost";
  leaseUntil: Milliseconds;
}

/** A job as its caller and the workers observed it. */
export interface JobEntry {
  id: JobId;
  spec: JobSpec;
  runTime: Milliseconds;
  /** Whether it asks for capacity within the guarantee of its team. */
  owner: boolean;
  submittedAt: Milliseconds;
  cancelledAt: Milliseconds;
  answer?: SubmissionAnswer;
  /** When it ended by the store or the baseline; infinite until then. */
  endedAt: Milliseconds;
  state: string;
  memberRuns: MemberRun[];
}

/** A sample of the fragmentation of free capacity. */
export interface CapacitySample {
  at: Milliseconds;
  largestGang: number;
  placeableGuarantees: number;
}

/** All that was observed during one run. */
export interface RunRecord {
  requests: Map<RequestId, RequestRecord>;
  jobs: Map<JobId, JobEntry>;
  samples: CapacitySample[];
  /** Configuration versions in force by process, in order. */
  versions: Map<string, number[]>;
  /** Violations that the fakes detected themselves. */
  faults: string[];
  /** Latest log lines of each request or job. */
  lines: Map<string, string[]>;
  /** Requests of each idempotency key. */
  keys: Map<string, RequestId[]>;
  /** Time for which each entry was paused. */
  pauses: Map<string, Milliseconds>;
  /** End of the run. */
  endedAt: Milliseconds;
}

/** Log lines that are kept of each request or job. */
const MAX_LINES = 40;

/** Creates an empty record. */
export function createRecord(): RunRecord {
  return {
    requests: new Map(),
    jobs: new Map(),
    samples: [],
    versions: new Map(),
    faults: [],
    lines: new Map(),
    keys: new Map(),
    pauses: new Map(),
    endedAt: 0,
  };
}

/** Adds a log line to one request or job. */
export function note(
  record: RunRecord,
  subject: string,
  now: Milliseconds,
  text: string,
): void {
  let lines = record.lines.get(subject);
  if (lines === undefined) record.lines.set(subject, lines = []);
  lines.push(`${now.toFixed(1)} ${text}`);
  if (lines.length > MAX_LINES) lines.shift();
}
