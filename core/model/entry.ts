/**
 * Events that the entry's reducer takes, and effects that it returns, with the
 * records that they carry.
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

/**
 * Record in the store that a request of a team uses an idempotency key. Later
 * requests with the same key get the outcome of this one.
 */
export interface Claim {
  team: string;
  key: string;
  /**
   * Digest of service and body. A request with the same key but another
   * fingerprint is refused, since it is other work.
   */
  fingerprint: string;
  request: RequestId;
  /** Entry that holds the request. */
  entry: EntryId;
  /** Incarnation of the entry. */
  incarnation: number;
  /** Wall-clock time of creation, ISO 8601, from which the claim expires. */
  created: string;
  /** Present once the outcome is known. */
  outcome?: Outcome;
}

/** Result of a claim: created, or the claim that already has the key. */
export type ClaimResult =
  | { kind: "created" }
  | { kind: "existing"; claim: Claim };

/** An entry that holds a live lease in the store. */
export interface EntryPresence {
  id: EntryId;
  incarnation: number;
  /** Address at which the entry accepts sessions of agents. */
  address: string;
  /** Address at which the entry accepts HTTP requests. */
  httpAddress: string;
}

/** A change that the audit trail records. */
export interface AuditRecord {
  /** Kind of change, such as `configuration`, `home` or `reclaim`. */
  kind: string;
  team: string;
  worker: string;
  job: string;
  reason: string;
  /** Identity of the operator or entry that made the change. */
  actor: string;
  detail: Fields;
}

/** Answer to the caller of `POST /v1/jobs`. */
export type SubmissionAnswer =
  | { kind: "accepted" }
  /** The job has no record and will never get one, so it never runs. */
  | { kind: "not-run"; reason: Reason }
  /** The job may have a record. If it has, it is found by its id and runs. */
  | { kind: "unknown"; reason: Reason };

/** Event of an entry. `now` is the monotonic time of the event. */
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
  /** An agent sent a heartbeat with the versions of the data that it holds. */
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
    /** Digest of service and body; see `Claim.fingerprint`. */
    fingerprint: string;
  }
  /** The caller closed its connection before it got the answer. */
  | { kind: "callerLeft"; now: Milliseconds; request: RequestId }
  /**
   * Results of a `claim` effect, in the order of `requests`. `results` is absent
   * if the store failed.
   */
  | {
    kind: "claimsAnswered";
    now: Milliseconds;
    requests: RequestId[];
    results?: ClaimResult[];
  }
  /**
   * Result of a `readClaim` effect: the claim of another request with the same
   * key, as the store holds it now. `claim` is absent if it could not be read.
   */
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
  /** Result of a `writeJob` effect. */
  | {
    kind: "jobWritten";
    now: Milliseconds;
    job: JobId;
    /** Number of the write in the effect. */
    write: number;
    /**
     * `stored`: the write took effect. `conflict`: the record had another
     * revision. `not-sent`: the write certainly has no effect. `unavailable`: it
     * may have taken effect, or may still do so.
     */
    result: "stored" | "conflict" | "not-sent" | "unavailable";
    /** Revision of the record in the store; 0 if there is none or unknown. */
    revision: number;
    /** The record in the store, after a conflict. */
    current?: JobRecord;
  }
  /** All job records of the store; see the effect `loadJobs`. */
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
  /** Result of a `writeHomes` effect. */
  | {
    kind: "homesWritten";
    now: Milliseconds;
    version: number;
    result: "stored" | "conflict" | "unavailable";
  }
  | { kind: "entriesSeen"; now: Milliseconds; entries: EntryPresence[] }
  /** The lease of this entry in the store is valid until the given time. */
  | { kind: "leaseRenewed"; now: Milliseconds; validUntil: Milliseconds }
  | { kind: "drainRequested"; now: Milliseconds; worker: WorkerId }
  | { kind: "stopRequested"; now: Milliseconds };

/** Effect that the daemon must carry out for the entry's reducer. */
export type EntryEffect =
  | {
    kind: "send";
    worker: WorkerId;
    /** The message is dropped if another incarnation is connected. */
    incarnation: number;
    message: EntryMessage;
  }
  /**
   * Closes the session with this incarnation of an agent, for instance one that
   * was paused while a newer one connected.
   */
  | { kind: "disconnect"; worker: WorkerId; incarnation: number }
  | { kind: "respond"; request: RequestId; outcome: Outcome }
  /** Creates claims unless their keys have claims already. */
  | { kind: "claim"; claims: Claim[] }
  /** Writes the outcome of a request to its claim. */
  | { kind: "settleClaim"; claim: Claim }
  | { kind: "readClaim"; request: RequestId; team: string; key: string }
  /** Writes the record if the store holds the given revision of it. */
  | {
    kind: "writeJob";
    /** Number of the write, which the event `jobWritten` repeats. */
    write: number;
    record: JobRecord;
    /** Revision that the store must hold; 0 to create the record. */
    revision: number;
  }
  /** Answers the caller of `POST /v1/jobs`. */
  | {
    kind: "answerSubmission";
    job: JobId;
    result: SubmissionAnswer;
  }
  /** Reads all job records, after the start and at intervals. */
  | { kind: "loadJobs" }
  /** Writes the homes table if the store still holds the version before it. */
  | { kind: "writeHomes"; homes: HomesTable }
  | { kind: "fetchConfiguration" }
  | { kind: "audit"; record: AuditRecord }
  | { kind: "log"; level: LogLevel; text: string; fields: Fields }
  | { kind: "count"; metric: string; value: number; tags: Fields }
  /** Ends the process: after a stop, nothing is left to finish or hand over. */
  | { kind: "exit" };
