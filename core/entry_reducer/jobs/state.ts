/**
 * State of the jobs of an entry.
 *
 * @module
 */

import type {
  Configuration,
  HomesTable,
  JobId,
  JobRecord,
  JobState,
  MemberState,
  Milliseconds,
  RunId,
  TeamName,
  WorkerId,
} from "@dragonflyledge/model";
import type { HomeIndex, WorkerView } from "@dragonflyledge/placement";
import { TimerQueue } from "./alarms.ts";

/** Members of a gang on one worker. */
export interface Part {
  worker: WorkerId;
  incarnation: number;
  members: { member: number; accelerators: number[] }[];
  answer: "none" | "asked" | "reserving" | "reserved";
  /** When the agent last told the state of the members. */
  confirmedAt: Milliseconds;
  /** Whether nothing of the run is left here, by proof. */
  confirmedStopped: boolean;
  states: Map<number, MemberState>;
}

/** What becomes of a job when its gang has stopped. */
export interface Ending {
  kind: "requeue" | "failed" | "cancelled" | "unknown";
  reason: string;
}

/** One run of a job. */
export interface Gang {
  run: RunId;
  /** Lowest epoch of members that belong to this run, after an adoption. */
  lowestEpoch: number;
  /** In ascending order of worker id. */
  parts: Map<WorkerId, Part>;
  phase: "reserving" | "recording" | "running" | "stopping";
  /** A run that has no commit by then is given up. */
  deadline: Milliseconds;
  committed: boolean;
  startedAt: Milliseconds;
  /** When the lease was last extended. */
  leaseSentAt: Milliseconds;
  ending: Ending | undefined;
  /** While the agents of an adopted gang are asked for finished members. */
  queryDeadline: Milliseconds | undefined;
  /** Whether members may run where this entry sees none, until the lapse. */
  unseen: boolean;
}

/** What follows a write of a record. */
export type FollowUp = "none" | "accept" | "start" | "claim" | "handover";

/** A write of a record that has not been answered. */
export interface Write {
  id: number;
  record: JobRecord;
  followUp: FollowUp;
  sentAt: Milliseconds;
}

/** A job that this entry owns. */
export interface Job {
  record: JobRecord;
  /** Revision of the stored record, 0 if none is known. */
  revision: number;
  phase: "submitting" | "claiming" | "queued" | "active" | "ended";
  urgent: boolean;
  /** Accelerators of all members. */
  need: number;
  /** Queue level while queued. */
  level: number;
  queuedAt: Milliseconds;
  /** Not placed before this time, after a failed start. */
  notBefore: Milliseconds;
  /** Worker that refused the last start; others are tried before it. */
  refusedBy: WorkerId | undefined;
  /** Failed starts in a row. */
  attempts: number;
  /** Why the job waits, for people. */
  wait: string;
  /** Accelerator-milliseconds that earlier runs received. */
  attainedService: number;
  /** No further hold before this time. */
  noHoldBefore: Milliseconds;
  gang: Gang | undefined;
  cancelled: boolean;
  /** Owner and state before this entry took the job over. */
  previous: { owner: string; state: JobState } | undefined;
  write: Write | undefined;
  /** Whether the record changed after the write was sent. */
  dirty: boolean;
  followUp: FollowUp;
  timerAt: Milliseconds;
  /** Whether a write of its submission was sent and not answered. */
  submissionUncertain: boolean;
  /** Whether it was refused or found to fit by workers that are known. */
  fitKnown: boolean;
  /** When it was last determined whether any worker set can hold the job. */
  lastFitCheckAt: Milliseconds;
  /** Since when no worker set can, by every look since then. */
  impossibleSince: Milliseconds | undefined;
}

/** A record that is to be cancelled though this entry doesn't own the job. */
export interface PendingCancel {
  state: JobState;
  reason: string;
  since: Milliseconds;
  write: number;
}

/** Workers that are drained for a large gang. */
export interface Hold {
  job: JobId;
  workers: Set<WorkerId>;
  until: Milliseconds;
  /** Whether backfilled work has been stopped to make room. */
  draining: boolean;
}

/** A run that agents report, from any entry. */
export interface SeenRun {
  epoch: number;
  since: Milliseconds;
  /** Workers that hold members now. */
  workers: Set<WorkerId>;
  /** Workers that have held members of this epoch. */
  formerWorkers: Set<WorkerId>;
  lastSeen: Milliseconds;
}

/** Everything that an entry knows about jobs. */
export interface JobsState {
  /** Number of jobs that have not ended. */
  readonly open: number;
  now: Milliseconds;
  startedAt: Milliseconds | undefined;
  /** Jobs of this entry. */
  jobs: Map<JobId, Job>;
  /** Open records of other entries, as last loaded. */
  foreign: Map<JobId, { record: JobRecord; revision: number }>;
  /** Records of jobs that ended lately. */
  ended: Map<JobId, JobRecord>;
  cancels: Map<JobId, PendingCancel>;
  queues: Map<TeamName, Set<Job>[]>;
  timers: TimerQueue<Job>;
  parts: Map<WorkerId, Map<JobId, Part>>;
  views: Map<WorkerId, WorkerView>;
  runs: Map<JobId, SeenRun>;
  /** Accelerators held by each team. */
  held: Map<TeamName, number>;
  /** Lost workers whose leases have not lapsed yet. */
  lost: Set<WorkerId>;
  homes: { table: HomesTable | undefined; index: HomeIndex };
  /** Grows whenever a gang that didn't fit may fit. */
  capacityVersion: number;
  noPlace: Map<string, { version: number; reason: string }>;
  /** Whether gangs would fit on idle workers, for gangs submitted lately. */
  fitCache: { until: Milliseconds; never: Map<string, boolean> };
  /** Whether a round of placement is due. */
  roundDue: boolean;
  nextRound: Milliseconds;
  /** No round before this time, which bounds the share of time they take. */
  earliestRound: Milliseconds;
  nextRefresh: Milliseconds;
  hold: Hold | undefined;
  /** Observed run times by kind of job. */
  runTimes: Map<string, Milliseconds>;
  writes: number;
  writesInFlight: number;
  delayedWrites: Set<Job>;
  writesPausedUntil: Milliseconds;
  storeDownSince: Milliseconds | undefined;
  nextLoad: Milliseconds;
  /** Own lease as of the last renewal. */
  leaseValidUntil: Milliseconds;
  /**
   * Whether other entries may own jobs of this one, because it was paused or
   * its lease lapsed. Nothing starts until the records have been loaded this
   * many times.
   */
  loadsRequired: number;
  /** Whether a load was asked for and not answered. */
  loading: boolean;
  /** Configuration for which urgency was last determined. */
  configuration: Configuration | undefined;
  /** Live entries as last seen, empty before the first time. */
  presence: string;
  /** When each owner was first missing in the presence list. */
  absentSince: Map<string, Milliseconds>;
  /** Since when a job without a live owner waits for one. */
  unownedSince: Map<JobId, Milliseconds>;
  nextTakeover: Milliseconds;
  nextFitCheck: Milliseconds;
  /** When each worker was last seen connected, within the last hour. */
  workersSeen: Map<WorkerId, Milliseconds>;
  stoppingSince: Milliseconds | undefined;
}

/** The state of an entry that has just started. */
export function createJobsState(): JobsState {
  return {
    get open() {
      return this.jobs.size;
    },
    now: 0,
    startedAt: undefined,
    jobs: new Map(),
    foreign: new Map(),
    ended: new Map(),
    cancels: new Map(),
    queues: new Map(),
    timers: new TimerQueue(),
    parts: new Map(),
    views: new Map(),
    runs: new Map(),
    held: new Map(),
    lost: new Set(),
    homes: { table: undefined, index: new Map() },
    capacityVersion: 0,
    noPlace: new Map(),
    fitCache: { until: 0, never: new Map() },
    roundDue: false,
    nextRound: 0,
    earliestRound: 0,
    nextRefresh: 0,
    hold: undefined,
    runTimes: new Map(),
    writes: 0,
    writesInFlight: 0,
    delayedWrites: new Set(),
    writesPausedUntil: 0,
    storeDownSince: undefined,
    nextLoad: 0,
    leaseValidUntil: Infinity,
    loadsRequired: 0,
    loading: false,
    configuration: undefined,
    presence: "",
    absentSince: new Map(),
    unownedSince: new Map(),
    nextTakeover: Infinity,
    nextFitCheck: 0,
    workersSeen: new Map(),
    stoppingSince: undefined,
  };
}
