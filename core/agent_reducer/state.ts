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

/** The state that the daemon reads for its hello messages and heartbeats. */
export interface AgentState {
  readonly inventory: Inventory;
  readonly incarnation: Incarnation;
  /** Configuration in force, or `undefined` until one arrives. */
  configuration: Configuration | undefined;
  /** Homes table in force, or `undefined` until one arrives. */
  homes: HomesTable | undefined;
  /** Whether the agent refuses new work, since it is drained or stopped. */
  leaving: boolean;
  /** Reports of the members that hold capacity of this worker. */
  members: MemberReport[];
}

/** An entry with a live session. */
export interface Peer {
  id: EntryId;
  /** Versions that the entry last named. */
  versions: Versions;
  /**
   * Since when the entry has had older versions than this agent, or when it
   * was last sent the newer ones; `undefined` if it is up to date.
   */
  laggingSince: Milliseconds | undefined;
  /** Time of the last report, or `-Infinity` before the first. */
  lastReportAt: Milliseconds;
  /** Versions of this agent in the last report. */
  reportedVersions: Versions | undefined;
  /** Whether the slots in use have changed since the last report. */
  slotsUnreported: boolean;
}

/** An endpoint's answer, kept to be sent again if its entry loses its session. */
export interface KeptAnswer {
  status: number;
  contentType: string;
  pieces: Uint8Array[];
  /** Size of all pieces together. */
  bytes: number;
  /** Whether the last piece has arrived. */
  complete: boolean;
}

/** An attempt for which the endpoint was called. */
export interface AttemptRecord {
  id: AttemptId;
  /** `attemptKey` of the id. */
  key: string;
  /** Entry that sent the attempt and receives its answer. */
  entry: EntryId;
  class: ClassName;
  /**
   * `running` until the outcome is known. An attempt past its deadline is
   * `broken` although its call may still be open.
   */
  phase: "running" | "done" | "broken" | "cancelled";
  /** Time at which the attempt is ended as broken. */
  deadline: Milliseconds;
  /** Whether the endpoint call is open. An open call occupies a slot. */
  calling: boolean;
  /** Whether an entry cancelled it. The call may still end in any way. */
  cancelled: boolean;
  /** Whether the daemon was told to abort the call. */
  abortSent: boolean;
  /** Pieces received so far: the sequence number of the next one. */
  sequence: number;
  /**
   * Whether the entry lost its session and may lack pieces. It is sent no more
   * pieces until it queries the attempt.
   */
  outOfSync: boolean;
  /** The answer so far, as long as all its pieces are kept. */
  answer: KeptAnswer | undefined;
  /** Time of the end of the call; infinite while it is open. */
  endedAt: Milliseconds;
}

/** One member of a gang on this worker. */
export interface Member {
  report: MemberReport;
  /** Identity of the task. It keeps the epoch under which it was started. */
  task: TaskId;
}

/** The members of one gang on this worker. */
export interface Run {
  id: RunId;
  /** Entry that last sent `reserve`, `commit`, `renew` or `stop` for the run. */
  entry: EntryId;
  team: TeamName;
  class: ClassName;
  urgent: boolean;
  revocable: boolean;
  perMember: Resources;
  command: string;
  members: Member[];
  /**
   * `reserving` until the capacity is free, `reserved` while it is held, and
   * `committed` from the start of the members on.
   */
  phase: "reserving" | "reserved" | "committed";
  /** When the reservation lapses unless it is committed. */
  reservedUntil: Milliseconds;
  /** When the gang's lease lapses unless it is renewed. */
  leaseUntil: Milliseconds;
  /** When running members are stopped; infinite if the run is not to end. */
  stopAt: Milliseconds;
  /** When the worker was last told to stop members; `-Infinity` if never. */
  stopSentAt: Milliseconds;
  /** When the members were started or adopted; `-Infinity` before. */
  startedAt: Milliseconds;
  /** When the last member ended; `-Infinity` before. */
  endedAt: Milliseconds;
  /**
   * Whether the run may stay on the home of another team although it is not
   * revocable: the homes table changed after its start, or it was adopted.
   */
  displaced: boolean;
  /**
   * Whether the run was found on the worker with needs beyond the capacity
   * that is there and free. It is stopped.
   */
  overCapacity: boolean;
}

/** Highest epoch seen of a job. */
export interface EpochRecord {
  epoch: number;
  /** Whether a run was started on this worker under this epoch. */
  started: boolean;
  /** When a message last named an epoch of the job that was not stale. */
  seenAt: Milliseconds;
}

/** Whole state of one agent, and the effects of the event being reduced. */
export interface Core {
  readonly state: AgentState;
  /** Monotonic time of the latest event. */
  now: Milliseconds;
  /** Effects of the event that is being reduced. */
  effects: AgentEffect[];
  /** Entries with a live session. */
  readonly peers: Map<EntryId, Peer>;
  /** Attempts whose endpoint was called; ended ones in the order of their end. */
  readonly attempts: Map<string, AttemptRecord>;
  /** Attempts whose endpoint call is open. */
  readonly openCalls: Set<AttemptRecord>;
  /** Latest attempt of each non-idempotent request that runs or may have run. */
  readonly requests: Map<RequestId, AttemptRecord>;
  /** Attempts that entries were told will never run. */
  readonly tombstones: Tombstones;
  /** Runs that hold or await capacity, by `runKey`. */
  readonly runs: Map<string, Run>;
  /** Runs whose members have all ended, by `runKey`, oldest first. */
  readonly ended: Map<string, Run>;
  /** Epochs of jobs, in the order in which messages last named them. */
  readonly epochs: Map<JobId, EpochRecord>;
  /** Usage that the worker last reported, and when it was measured. */
  usage: { cores: number; memoryMiB: number; readAt: Milliseconds };
  /** Whether the slots in use changed; cleared after each event. */
  slotsChanged: boolean;
  /** Whether runs or their members changed; cleared after each event. */
  membersChanged: boolean;
  /** Whether the daemon was asked to stop. */
  exitRequested: boolean;
  /** Whether the `exit` effect was emitted. It is emitted once. */
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

/** Sends a message to an entry, or drops it if the entry has no session. */
export function send(core: Core, entry: EntryId, message: AgentMessage): void {
  if (!core.peers.has(entry)) return;
  core.effects.push({ kind: "send", entry, message });
}

/** Adds one to a counter. */
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

/** Key of an attempt in maps. It is unique, since the number comes first. */
export function attemptKey(id: AttemptId): string {
  return `${id.number}/${id.request}`;
}

/** Key of a run in maps. It is unique, since the epoch comes first. */
export function runKey(id: RunId): string {
  return `${id.epoch}/${id.job}`;
}
