/**
 * Events and effects of the entry's reducer.
 *
 * @module
 */

import type { Fields, LogLevel } from "./agent.ts";
import type { Milliseconds } from "./clock.ts";
import type { Configuration, HomesTable } from "./configuration.ts";
import type { AgentMessage, EntryMessage, Hello } from "./messages.ts";
import type { Outcome, Reason } from "./outcome.ts";
import type { EntryId, JobId, RequestId, WorkerId } from "./resources.ts";
import type { JobRecord, JobSpec, WorkRequest } from "./work.ts";

/** Stored claim of an idempotency key. */
export interface Claim {
  team: string;
  key: string;
  /** Digest of service and body: a key must not be used for other work. */
  fingerprint: string;
  request: RequestId;
  entry: EntryId;
  incarnation: number;
  /** ISO 8601, for expiry. */
  created: string;
  /** Present once the outcome is known. */
  outcome?: Outcome;
}

/** Result of one claim: created by us, or what was there before. */
export type ClaimResult =
  | { kind: "created" }
  | { kind: "existing"; claim: Claim };

/** An entry that holds a live lease in the store. */
export interface EntryPresence {
  id: EntryId;
  incarnation: number;
  /** Address for sessions of agents. */
  address: string;
  /** Address for HTTP. */
  httpAddress: string;
}

/** A change that the audit trail records. */
export interface AuditRecord {
  /** Kind of change, such as `configuration`, `home`, `reclaim`. */
  kind: string;
  team: string;
  worker: string;
  job: string;
  reason: string;
  /** Identity of who caused the change. */
  actor: string;
  detail: Fields;
}

/** What the caller of `POST /v1/jobs` is told. */
export type SubmissionAnswer =
  | { kind: "accepted" }
  /** No record exists, and none will: the job never runs. */
  | { kind: "not-run"; reason: Reason }
  /** A record may exist; the job may be found under its id and may run. */
  | { kind: "unknown"; reason: Reason };

/** What may happen to an entry. `now` is monotonic time. */
export type EntryEvent =
  | { kind: "tick"; now: Milliseconds }
  | { kind: "agentConnected"; now: Milliseconds; hello: Hello }
  | {
    kind: "agentLost";
    now: Milliseconds;
    worker: WorkerId;
    incarnation: number;
  }
  | {
    kind: "message";
    now: Milliseconds;
    worker: WorkerId;
    incarnation: number;
    message: AgentMessage;
  }
  | {
    kind: "peerVersions";
    now: Milliseconds;
    worker: WorkerId;
    versions: { configuration: number; homes: number };
  }
  | {
    kind: "requestArrived";
    now: Milliseconds;
    request: WorkRequest;
    /** Digest of service and body, for idempotency keys. */
    fingerprint: string;
  }
  /** The caller closed its connection before the answer. */
  | { kind: "callerLeft"; now: Milliseconds; request: RequestId }
  /** Results of the `claim` effect; `results` is absent if the store failed. */
  | {
    kind: "claimsAnswered";
    now: Milliseconds;
    requests: RequestId[];
    results?: ClaimResult[];
  }
  /** A claim of another request as now in the store; absent if not readable. */
  | {
    kind: "claimRead";
    now: Milliseconds;
    request: RequestId;
    claim?: Claim;
  }
  | {
    kind: "jobSubmitted";
    now: Milliseconds;
    job: JobId;
    spec: JobSpec;
    /** Wall-clock time of submission, ISO 8601. */
    submitted: string;
  }
  | { kind: "jobCancelled"; now: Milliseconds; job: JobId }
  /** A write of a job record ended. */
  | {
    kind: "jobWritten";
    now: Milliseconds;
    job: JobId;
    /** Identity of the write, from the effect. */
    write: number;
    /**
     * `not-sent`: the write certainly has no effect. `unavailable`: it may
     * have taken effect, or may still do so.
     */
    result: "stored" | "conflict" | "not-sent" | "unavailable";
    revision: number;
    /** The record that won, after a conflict. */
    current?: JobRecord;
  }
  /** All job records, after the start and in a slow cycle. */
  | {
    kind: "jobsLoaded";
    now: Milliseconds;
    jobs: { record: JobRecord; revision: number }[];
  }
  | {
    kind: "configurationSeen";
    now: Milliseconds;
    configuration: Configuration;
  }
  | { kind: "homesSeen"; now: Milliseconds; homes: HomesTable }
  /** A compare-and-swap of the homes table ended. */
  | {
    kind: "homesWritten";
    now: Milliseconds;
    version: number;
    result: "stored" | "conflict" | "unavailable";
  }
  | { kind: "entriesSeen"; now: Milliseconds; entries: EntryPresence[] }
  /** The own lease in the store is valid until the given time. */
  | { kind: "leaseRenewed"; now: Milliseconds; validUntil: Milliseconds }
  | { kind: "drainRequested"; now: Milliseconds; worker: WorkerId }
  | { kind: "stopRequested"; now: Milliseconds };

/** What the entry's shell must do. */
export type EntryEffect =
  | {
    kind: "send";
    worker: WorkerId;
    /** The message is dropped if another incarnation is connected by now. */
    incarnation: number;
    message: EntryMessage;
  }
  /** Closes the session with an agent, for instance a paused one. */
  | { kind: "disconnect"; worker: WorkerId; incarnation: number }
  | { kind: "respond"; request: RequestId; outcome: Outcome }
  | { kind: "claim"; claims: Claim[] }
  /** Writes the outcome of a claimed request. */
  | { kind: "settleClaim"; claim: Claim }
  | { kind: "readClaim"; request: RequestId; team: string; key: string }
  | {
    kind: "writeJob";
    write: number;
    record: JobRecord;
    /** Revision that must be current; 0 to create. */
    revision: number;
  }
  /** Tells the caller of `POST /v1/jobs` what happened. */
  | {
    kind: "answerSubmission";
    job: JobId;
    result: SubmissionAnswer;
  }
  | { kind: "loadJobs" }
  | { kind: "writeHomes"; homes: HomesTable }
  | { kind: "fetchConfiguration" }
  | { kind: "audit"; record: AuditRecord }
  | { kind: "log"; level: LogLevel; text: string; fields: Fields }
  | { kind: "count"; metric: string; value: number; tags: Fields }
  | { kind: "exit" };
