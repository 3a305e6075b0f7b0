/**
 * State of one agent, shared by the modules of its reducer.
 *
 * @module
 */

import type {
  AgentEffect,
  AgentMessage,
  AttemptId,
  ClassName,
  Configuration,
  EntryId,
  Fields,
  HomesTable,
  Incarnation,
  Inventory,
  JobId,
  LogLevel,
  MemberReport,
  Milliseconds,
  RequestId,
  Resources,
  RunId,
  TaskId,
  TeamName,
  Versions,
} from "@dragonflyledge/model";
import { createTombstones } from "./tombstones.ts";
import type { Tombstones } from "./tombstones.ts";

/** What the agent's shell needs to read for its hello and heartbeats. */
export interface AgentState {
  readonly inventory: Inventory;
  readonly incarnation: Incarnation;
  configuration: Configuration | undefined;
  homes: HomesTable | undefined;
  leaving: boolean;
  /** Members that hold capacity. */
  members: MemberReport[];
}

/** An entry with a live session. */
export interface Peer {
  id: EntryId;
  versions: Versions;
  /** Since when the peer was seen with older versions than ours. */
  laggingSince: Milliseconds | undefined;
  lastReportAt: Milliseconds;
  /** Own versions in the last report. */
  reportedVersions: Versions | undefined;
  /** The slots changed since the last report. */
  slotsUnreported: boolean;
}

/** Pieces of an endpoint's answer, kept in case its entry has to catch up. */
export interface KeptAnswer {
  status: number;
  contentType: string;
  pieces: Uint8Array[];
  bytes: number;
  complete: boolean;
}

/** An attempt for which the endpoint was called. */
export interface AttemptRecord {
  id: AttemptId;
  key: string;
  entry: EntryId;
  class: ClassName;
  /** `running` until the outcome is known, which may precede the call's end. */
  phase: "running" | "done" | "broken" | "cancelled";
  deadline: Milliseconds;
  /** The endpoint call has not ended and holds a slot. */
  calling: boolean;
  cancelled: boolean;
  abortSent: boolean;
  /** Pieces that the endpoint has sent so far. */
  sequence: number;
  /** The entry lost its session and has not queried since. */
  outOfSync: boolean;
  /** Present while the answer is kept whole. */
  answer: KeptAnswer | undefined;
  endedAt: Milliseconds;
}

/** One member of a gang on this worker. */
export interface Member {
  report: MemberReport;
  /** Identity on the worker. It keeps the epoch under which it was started. */
  task: TaskId;
}

/** The members of one gang on this worker. */
export interface Run {
  id: RunId;
  /** Entry that last sent `reserve`, `commit` or `renew`. */
  entry: EntryId;
  team: TeamName;
  class: ClassName;
  urgent: boolean;
  revocable: boolean;
  perMember: Resources;
  command: string;
  members: Member[];
  phase: "reserving" | "reserved" | "committed";
  /** Lapse of the reservation. */
  reservedUntil: Milliseconds;
  /** Lapse of the gang's lease. */
  leaseUntil: Milliseconds;
  /** When members that still run are stopped; infinite if not ending. */
  stopAt: Milliseconds;
  stopSentAt: Milliseconds;
  startedAt: Milliseconds;
  endedAt: Milliseconds;
  /** Placed before the homes table that now assigns its accelerators. */
  displaced: boolean;
  /** Found on the worker beyond the capacity; it is stopped. */
  overCapacity: boolean;
}

/** Highest epoch seen of a job, and whether it was ever started here. */
export interface EpochRecord {
  epoch: number;
  started: boolean;
  seenAt: Milliseconds;
}

/** State and pending effects of one agent. */
export interface Core {
  readonly state: AgentState;
  now: Milliseconds;
  effects: AgentEffect[];
  readonly peers: Map<EntryId, Peer>;
  /** Attempts whose endpoint call was made, in the order of settlement. */
  readonly attempts: Map<string, AttemptRecord>;
  /** Attempts whose endpoint call has not ended. */
  readonly openCalls: Set<AttemptRecord>;
  /** Attempt of each non-idempotent request that runs or may have run. */
  readonly requests: Map<RequestId, AttemptRecord>;
  readonly tombstones: Tombstones;
  /** Runs that hold or await capacity, by `runKey`. */
  readonly runs: Map<string, Run>;
  /** Runs whose members have all ended, oldest first. */
  readonly ended: Map<string, Run>;
  readonly epochs: Map<JobId, EpochRecord>;
  usage: { cores: number; memoryMiB: number; readAt: Milliseconds };
  slotsChanged: boolean;
  membersChanged: boolean;
  exitRequested: boolean;
  exitEmitted: boolean;
}

/** Creates the state of an agent that has just started. */
export function createCore(fields: {
  inventory: Inventory;
  incarnation: Incarnation;
}): Core {
  return {
    state: {
      inventory: fields.inventory,
      incarnation: fields.incarnation,
      configuration: undefined,
      homes: undefined,
      leaving: false,
      members: [],
    },
    now: 0,
    effects: [],
    peers: new Map(),
    attempts: new Map(),
    openCalls: new Set(),
    requests: new Map(),
    tombstones: createTombstones(),
    runs: new Map(),
    ended: new Map(),
    epochs: new Map(),
    usage: { cores: 0, memoryMiB: 0, readAt: 0 },
    slotsChanged: false,
    membersChanged: false,
    exitRequested: false,
    exitEmitted: false,
  };
}

/** Sends a message if the entry has a session. */
export function send(core: Core, entry: EntryId, message: AgentMessage): void {
  if (!core.peers.has(entry)) return;
  core.effects.push({ kind: "send", entry, message });
}

/** Counts one occurrence. */
export function count(core: Core, metric: string, tags: Fields = {}): void {
  core.effects.push({ kind: "count", metric, value: 1, tags });
}

/** Writes a log line. */
export function log(
  core: Core,
  level: LogLevel,
  text: string,
  fields: Fields,
): void {
  core.effects.push({ kind: "log", level, text, fields });
}

/** Key of an attempt. The number comes first, so that keys are unique. */
export function attemptKey(id: AttemptId): string {
  return `${id.number}/${id.request}`;
}

/** Key of a run. The epoch comes first, so that keys are unique. */
export function runKey(id: RunId): string {
  return `${id.epoch}/${id.job}`;
}
