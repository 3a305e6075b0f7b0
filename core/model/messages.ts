/**
 * Messages between entries and agents. Each frame on the wire holds one message
 * as a CBOR map, whose `kind` tells which it is. Deadlines are sent as the
 * remaining time in milliseconds, since the clocks of two machines differ.
 *
 * @module
 */

import type { Configuration, HomesTable } from "./configuration.ts";
import type { Milliseconds } from "./clock.ts";
import type {
  ClassName,
  EntryId,
  Incarnation,
  Inventory,
  JobId,
  RequestId,
  Resources,
  ServiceName,
  TeamName,
  WorkerId,
} from "./resources.ts";

/** Versions of the shared data that a process holds; 0 for data it lacks. */
export interface Versions {
  configuration: number;
  homes: number;
}

/** First frame in both directions of every session. */
export interface Hello {
  kind: "hello";
  /** Protocol version; see `PROTOCOL_VERSION`. */
  protocol: number;
  role: "entry" | "agent";
  /** Worker id of an agent or id of an entry. */
  id: string;
  incarnation: Incarnation;
  versions: Versions;
  /** Sent by agents only. */
  inventory?: Inventory;
  /**
   * Sent by agents only: members whose tasks were found on the worker at the
   * agent's start, or are still running.
   */
  members?: MemberReport[];
  /** Sent by entries only: address at which agents reach the entry. */
  address?: string;
}

/** Sent by both ends every `HEARTBEAT_INTERVAL`. */
export interface Heartbeat {
  kind: "heartbeat";
  versions: Versions;
}

/** Identity of one attempt to run a request. */
export interface AttemptId {
  request: RequestId;
  /** Tells apart the attempts of the request. */
  number: number;
}

/**
 * Asks an agent to run a request. The agent accepts or refuses it at once, and
 * never queues it.
 */
export interface Attempt {
  kind: "attempt";
  attempt: AttemptId;
  /** Incarnation of the agent; any other one refuses the attempt. */
  incarnation: Incarnation;
  service: ServiceName;
  path: string;
  team: TeamName;
  class: ClassName;
  urgent: boolean;
  /** Largest number of slots that this class may hold on the endpoint. */
  classSlots: number;
  /** Time until the deadline of the request. */
  remaining: Milliseconds;
  idempotent: boolean;
  contentType: string;
  body: Uint8Array;
}

/**
 * Cancels an attempt. If the agent does not know it, it records a tombstone and
 * refuses the attempt should it arrive later. Answered with `AttemptState`.
 */
export interface CancelAttempt {
  kind: "cancelAttempt";
  attempt: AttemptId;
}

/**
 * Asks for the state of an attempt. Records a tombstone for an attempt that the
 * agent does not know, as `CancelAttempt` does. Answered with `AttemptState`.
 */
export interface QueryAttempt {
  kind: "queryAttempt";
  attempt: AttemptId;
}

/** The agent has started the call to the endpoint. */
export interface AttemptAccepted {
  kind: "attemptAccepted";
  attempt: AttemptId;
}

/** Proves that the attempt did not run and never will. */
export interface AttemptRefused {
  kind: "attemptRefused";
  attempt: AttemptId;
  reason:
    /** The endpoint has no free slot, or the agent remembers too many attempts. */
    | "busy"
    /** The class holds all slots that it may hold. */
    | "class-limit"
    /** The worker is leaving and takes no new work. */
    | "leaving"
    /** The attempt was meant for another incarnation of the agent. */
    | "stale-incarnation"
    /** The attempt was cancelled, queried or refused before. */
    | "tombstoned"
    /** Another attempt of this non-idempotent request has arrived before. */
    | "duplicate"
    /** The deadline has passed. */
    | "expired"
    /** The worker does not offer the service, or no byte reached the endpoint. */
    | "unreachable";
}

/** One piece of an endpoint's answer. */
export interface AttemptAnswer {
  kind: "attemptAnswer";
  attempt: AttemptId;
  status: number;
  contentType: string;
  /** Position of the piece in the answer. */
  sequence: number;
  /** Whether this is the last piece of the answer. */
  last: boolean;
  piece: Uint8Array;
}

/** The endpoint's answer is incomplete or missing; the work may have run. */
export interface AttemptBroken {
  kind: "attemptBroken";
  attempt: AttemptId;
  cause: string;
}

/**
 * Answer to `QueryAttempt` and `CancelAttempt`. `absent`: the agent does not know
 * the attempt and will never run it.
 */
export interface AttemptState {
  kind: "attemptState";
  attempt: AttemptId;
  state: "absent" | "running" | "done" | "broken" | "cancelled";
}

/**
 * Identity of one run of a gang job. A run with a higher epoch fences those with
 * lower ones: agents refuse or stop them.
 */
export interface RunId {
  job: JobId;
  epoch: number;
}

/**
 * Asks an agent to hold capacity for members of a gang. Answered with `Reserved`,
 * `Reserving`, `ReserveRefused` or, for a run that has started, `RunState`.
 */
export interface Reserve {
  kind: "reserve";
  run: RunId;
  team: TeamName;
  class: ClassName;
  urgent: boolean;
  revocable: boolean;
  /** The members on this worker and the accelerators of each. */
  members: { member: number; accelerators: number[] }[];
  /** Resources that each member needs. */
  perMember: Resources;
  /** Command that the worker runs for each member. */
  command: string;
  /** The reservation lapses after this time unless it is committed. */
  remaining: Milliseconds;
}

/** Starts the members of a reservation; answered with `RunState`. */
export interface Commit {
  kind: "commit";
  run: RunId;
  /** Length of the gang's lease from the arrival of the message. */
  lease: Milliseconds;
}

/** Gives up a reservation that was not committed; answered with `RunState`. */
export interface Release {
  kind: "release";
  run: RunId;
}

/** Renews the gang's lease; answered with `RunState`. */
export interface Renew {
  kind: "renew";
  run: RunId;
  lease: Milliseconds;
}

/** Stops the members of a run on this worker. */
export interface StopRun {
  kind: "stop";
  run: RunId;
  /** Whether the members get time to checkpoint before they are stopped. */
  checkpoint: boolean;
}

/** Slows the running members of a gang on this worker. */
export interface ThrottleRun {
  kind: "throttle";
  run: RunId;
  /** Share of their processor time that the members keep. */
  share: number;
}

/** The agent holds the capacity of a reservation. */
export interface Reserved {
  kind: "reserved";
  run: RunId;
}

/** The agent will hold the capacity after other members have been stopped. */
export interface Reserving {
  kind: "reserving";
  run: RunId;
  /** Time until the other members are stopped. */
  remaining: Milliseconds;
}

/**
 * The agent does not hold the capacity. `not-revocable`: work that is not
 * revocable may not run on these accelerators. `stale-epoch`: the agent has seen
 * a higher epoch of the job.
 */
export interface ReserveRefused {
  kind: "reserveRefused";
  run: RunId;
  reason: "no-capacity" | "not-revocable" | "leaving" | "stale-epoch";
}

/** State of one member of a gang on a worker. */
export const MemberState = {
  Reserved: "reserved",
  Running: "running",
  Checkpointing: "checkpointing",
  Stopping: "stopping",
  Stopped: "stopped",
  Finished: "finished",
  Failed: "failed",
} as const;
export type MemberState = typeof MemberState[keyof typeof MemberState];

/** A member of a gang on a worker, with its state. */
export interface MemberReport {
  run: RunId;
  member: number;
  team: TeamName;
  class: ClassName;
  urgent: boolean;
  revocable: boolean;
  accelerators: number[];
  state: MemberState;
}

/** States of the members of one run on this worker. */
export interface RunState {
  kind: "runState";
  run: RunId;
  /** Empty if the agent does not know the run or does not hold its capacity. */
  members: MemberReport[];
}

/** Tells the entry of a gang that capacity of the gang is being reclaimed. */
export interface ReclaimNotice {
  kind: "reclaimNotice";
  run: RunId;
  /** Time until the members on this worker are stopped. */
  remaining: Milliseconds;
  /** Team for which the capacity is reclaimed. */
  by: TeamName;
}

/** State of a worker, sent when it changes and every `REPORT_INTERVAL`. */
export interface Report {
  kind: "report";
  worker: WorkerId;
  incarnation: Incarnation;
  versions: Versions;
  /** Whether the worker is leaving and takes no new work. */
  leaving: boolean;
  /** Slots of the endpoint that requests hold. */
  slotsUsed: number;
  /** The same by class. */
  slotsByClass: Record<ClassName, number>;
  members: MemberReport[];
  /** Cores and memory in use, as the worker last told, and how old that is. */
  usage: { cores: number; memoryMiB: number; age: Milliseconds };
}

/** Sends the configuration to a peer that holds an older version. */
export interface ConfigurationUpdate {
  kind: "configuration";
  configuration: Configuration;
}

/** Sends the homes table to a peer that holds an older version. */
export interface HomesUpdate {
  kind: "homes";
  homes: HomesTable;
}

/** Asks the peer for shared data newer than the given versions. */
export interface Fetch {
  kind: "fetch";
  versions: Versions;
}

/** Tells agents which entries are live, so that they connect to them. */
export interface Entries {
  kind: "entries";
  entries: { id: EntryId; address: string }[];
}

/** Tells the agent that an operator drains its worker. */
export interface Drain {
  kind: "drain";
}

/** Messages from an entry to an agent. */
export type EntryMessage =
  | Attempt
  | CancelAttempt
  | QueryAttempt
  | Reserve
  | Commit
  | Release
  | Renew
  | StopRun
  | ThrottleRun
  | ConfigurationUpdate
  | HomesUpdate
  | Fetch
  | Entries
  | Drain;

/** Messages from an agent to an entry. */
export type AgentMessage =
  | AttemptAccepted
  | AttemptRefused
  | AttemptAnswer
  | AttemptBroken
  | AttemptState
  | Reserved
  | Reserving
  | ReserveRefused
  | RunState
  | ReclaimNotice
  | Report
  | ConfigurationUpdate
  | HomesUpdate
  | Fetch;

/** Any message on the wire. */
export type Message = Hello | Heartbeat | EntryMessage | AgentMessage;
