/**
 * Messages between entries and agents. One CBOR map a frame, told apart by
 * `kind`. Deadlines travel as remaining milliseconds, since the clocks of two
 * machines differ.
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

/** Versions of shared data that a process holds; 0 for none. */
export interface Versions {
  configuration: number;
  homes: number;
}

/** First frame in both directions of every session. */
export interface Hello {
  kind: "hello";
  protocol: number;
  role: "entry" | "agent";
  id: string;
  incarnation: Incarnation;
  versions: Versions;
  /** Present from agents. */
  inventory?: Inventory;
  /** Tasks found on the worker at the agent's start, or still running. */
  members?: MemberReport[];
  /** Present from entries: address at which agents reach this entry. */
  address?: string;
}

/** Sent by both ends each heartbeat interval. */
export interface Heartbeat {
  kind: "heartbeat";
  versions: Versions;
}

/** Identity of one attempt of a request. */
export interface AttemptId {
  request: RequestId;
  number: number;
}

/** Asks an agent to run a request. It accepts or refuses, never queues. */
export interface Attempt {
  kind: "attempt";
  attempt: AttemptId;
  /** The attempt is void for any other incarnation of the agent. */
  incarnation: Incarnation;
  service: ServiceName;
  path: string;
  team: TeamName;
  class: ClassName;
  urgent: boolean;
  /** Largest number of slots that this class may hold on the endpoint. */
  classSlots: number;
  remaining: Milliseconds;
  idempotent: boolean;
  contentType: string;
  body: Uint8Array;
}

/** Cancels an attempt, or leaves a tombstone if it has not arrived. */
export interface CancelAttempt {
  kind: "cancelAttempt";
  attempt: AttemptId;
}

/** Asks for the state of an attempt; an absent one is tombstoned. */
export interface QueryAttempt {
  kind: "queryAttempt";
  attempt: AttemptId;
}

export interface AttemptAccepted {
  kind: "attemptAccepted";
  attempt: AttemptId;
}

/** Proves that the attempt did not run and never will. */
export interface AttemptRefused {
  kind: "attemptRefused";
  attempt: AttemptId;
  reason:
    | "busy"
    | "class-limit"
    | "leaving"
    | "stale-incarnation"
    | "tombstoned"
    | "duplicate"
    | "expired"
    | "unreachable";
}

/** One piece of an endpoint's answer, in order, the last one marked. */
export interface AttemptAnswer {
  kind: "attemptAnswer";
  attempt: AttemptId;
  status: number;
  contentType: string;
  sequence: number;
  last: boolean;
  piece: Uint8Array;
}

/** The endpoint's answer broke off or never came; the work may have run. */
export interface AttemptBroken {
  kind: "attemptBroken";
  attempt: AttemptId;
  cause: string;
}

/** Answer to a query or a cancel. `absent` proves it will never run. */
export interface AttemptState {
  kind: "attemptState";
  attempt: AttemptId;
  state: "absent" | "running" | "done" | "broken" | "cancelled";
}

/** Identity of a gang's run: a higher epoch fences a lower one. */
export interface RunId {
  job: JobId;
  epoch: number;
}

/** Asks an agent to hold capacity for members of a gang. */
export interface Reserve {
  kind: "reserve";
  run: RunId;
  team: TeamName;
  class: ClassName;
  urgent: boolean;
  revocable: boolean;
  /** Accelerators of each member placed on this worker. */
  members: { member: number; accelerators: number[] }[];
  perMember: Resources;
  command: string;
  /** The reservation lapses after this time unless committed. */
  remaining: Milliseconds;
}

export interface Commit {
  kind: "commit";
  run: RunId;
  /** Length of the gang's lease. */
  lease: Milliseconds;
}

/** Gives up a reservation that was not committed. */
export interface Release {
  kind: "release";
  run: RunId;
}

/** Renews the gang's lease; answered with the states of the members. */
export interface Renew {
  kind: "renew";
  run: RunId;
  lease: Milliseconds;
}

export interface StopRun {
  kind: "stop";
  run: RunId;
  checkpoint: boolean;
}

/** Slows a running gang to this share of its processor time. */
export interface ThrottleRun {
  kind: "throttle";
  run: RunId;
  share: number;
}

/** The capacity is held. */
export interface Reserved {
  kind: "reserved";
  run: RunId;
}

/** The capacity will be held after borrowers have been stopped. */
export interface Reserving {
  kind: "reserving";
  run: RunId;
  remaining: Milliseconds;
}

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

/** States of all members of one run on this worker; empty if it has none. */
export interface RunState {
  kind: "runState";
  run: RunId;
  members: MemberReport[];
}

/** Tells the gang's entry that its capacity is being reclaimed. */
export interface ReclaimNotice {
  kind: "reclaimNotice";
  run: RunId;
  /** Time until the members here are stopped. */
  remaining: Milliseconds;
  /** Team that reclaims its home. */
  by: TeamName;
}

/** State of a worker: sent on change, and slowly without one. */
export interface Report {
  kind: "report";
  worker: WorkerId;
  incarnation: Incarnation;
  versions: Versions;
  leaving: boolean;
  slotsUsed: number;
  slotsByClass: Record<ClassName, number>;
  members: MemberReport[];
  /** Cores and memory in use as last told by the worker, with a lag. */
  usage: { cores: number; memoryMiB: number; age: Milliseconds };
}

export interface ConfigurationUpdate {
  kind: "configuration";
  configuration: Configuration;
}

export interface HomesUpdate {
  kind: "homes";
  homes: HomesTable;
}

/** Asks the peer for data newer than the versions given. */
export interface Fetch {
  kind: "fetch";
  versions: Versions;
}

/** Live entries, for agents to dial. */
export interface Entries {
  kind: "entries";
  entries: { id: EntryId; address: string }[];
}

/** An operator drains the worker. */
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

/** Every frame on the wire. */
export type Message = Hello | Heartbeat | EntryMessage | AgentMessage;
