/**
 * The state of the jobs reducer of one entry. None of these types leaves the
 * process, apart from the records of the model. Times are milliseconds on the
 * entry's clock.
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

/** The members of a gang on one worker. */
export interface Part {
  worker: WorkerId;
  /** Incarnation of the agent that the members were reserved on. */
  incarnation: number;
  /** The members by number, with the indexes of their accelerators. */
  members: { member: number; accelerators: number[] }[];
  /**
   * Progress of the reservation. `reserving` means that the agent is stopping
   * other work first.
   */
  answer: "none" | "asked" | "reserving" | "reserved";
  /** When the agent last reported the state of the members. */
  confirmedAt: Milliseconds;
  /** Whether it is certain that no member of the run is left on the worker. */
  confirmedStopped: boolean;
  /** Last known state of each member, by member number. */
  states: Map<number, MemberState>;
}

/**
 * What becomes of a job once its gang has stopped: it is queued again, or ends
 * in the given state.
 */
export interface Ending {
  kind: "requeue" | "failed" | "cancelled" | "unknown";
  reason: string;
}

/** One run of a job, from the first reservation until all members are gone. */
export interface Gang {
  run: RunId;
  /**
   * Members with epochs from this one to that of `run` belong to the run. It is
   * lower than the epoch of `run` only after a takeover, which adopts members
   * of a former owner's epoch.
   */
  lowestEpoch: number;
  /** Parts in ascending order of worker id. */
  parts: Map<WorkerId, Part>;
  /** `recording` means that the start is being written to the store. */
  phase: "reserving" | "recording" | "running" | "stopping";
  /** The start is given up if the run is not committed by this time. */
  deadline: Milliseconds;
  /** Whether the commit was sent to the agents. */
  committed: boolean;
  /** When the run was committed; before that, when reserving began. */
  startedAt: Milliseconds;
  /** When the lease was last granted or renewed. */
  leaseSentAt: Milliseconds;
  /** What becomes of the job, while the gang stops. */
  ending: Ending | undefined;
  /**
   * After a takeover, the time until which agents are asked for members that
   * have finished. Undefined if no agent is being asked.
   */
  queryDeadline: Milliseconds | undefined;
  /**
   * Whether members may run on workers that are not connected to this entry.
   * The run then ends only when the lease has lapsed.
   */
  unseen: boolean;
}

/** What this entry does when the write of a record has been answered. */
export type FollowUp = "none" | "accept" | "start" | "claim" | "handover";

/** A write of a record that has not been answered. */
export interface Write {
  /** Number of the write, unique within this process. */
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
  /**
   * `submitting` and `claiming` wait for the first write of the record,
   * `active` has a gang, `ended` waits for the write of the final state.
   */
  phase: "submitting" | "claiming" | "queued" | "active" | "ended";
  /** Whether the class of the job is urgent. */
  urgent: boolean;
  /** Accelerators of all members together. */
  need: number;
  /** Level of the queue that holds the job, see `queue.ts`. */
  level: number;
  /** When the job was queued. A failed start does not change it. */
  queuedAt: Milliseconds;
  /** The job is not placed before this time, after a failed start. */
  notBefore: Milliseconds;
  /** Worker that refused the last start; other workers are tried first. */
  refusedBy: WorkerId | undefined;
  /** Number of consecutive failed starts. */
  attempts: number;
  /** Why the job waits, as shown to users. */
  wait: string;
  /** Accelerator-milliseconds that earlier runs have used. */
  attainedService: number;
  /** The job gets no further hold before this time. */
  noHoldBefore: Milliseconds;
  gang: Gang | undefined;
  /** Whether cancellation was requested. */
  cancelled: boolean;
  /** Owner and state before this entry took the job over. */
  previous: { owner: string; state: JobState } | undefined;
  /** The write in flight; there is at most one for each job. */
  write: Write | undefined;
  /** Whether the record has changed since the last write was sent. */
  dirty: boolean;
  /** Follow-up of the next write. */
  followUp: FollowUp;
  /** When the timer of the job is due; `Infinity` if none is set. */
  timerAt: Milliseconds;
  /**
   * Whether a write of the submission was sent and its answer was lost, so that
   * the record may or may not be stored.
   */
  submissionUncertain: boolean;
  /**
   * Whether the job was checked against the workers and fits on some of them,
   * by this entry or the one that accepted it. False for a job that was
   * accepted while this entry had just started and knew few workers.
   */
  fitKnown: boolean;
  /** When it was last checked whether any set of workers can hold the job. */
  lastFitCheckAt: Milliseconds;
  /** Since when every such check has found that no set of workers can. */
  impossibleSince: Milliseconds | undefined;
}

/** A cancellation to be written into the record of another entry's job. */
export interface PendingCancel {
  /** State and reason that request the cancellation in the record. */
  state: JobState;
  reason: string;
  /** When the cancellation was requested. */
  since: Milliseconds;
  /** Number of the write in flight, 0 if there is none. */
  write: number;
}

/**
 * Workers that are kept for a large gang that has waited too long. Work that
 * runs on them is left to finish, and only urgent, short or revocable work may
 * still be placed there.
 */
export interface Hold {
  /** The job that the workers are kept for. */
  job: JobId;
  workers: Set<WorkerId>;
  until: Milliseconds;
  /** Whether backfilled work on the workers was stopped to make room. */
  draining: boolean;
}

/** The run of a job of any entry, as reported by agents. */
export interface SeenRun {
  /** Highest epoch seen. */
  epoch: number;
  /** When this epoch was first seen. */
  since: Milliseconds;
  /** Workers that hold members now. */
  workers: Set<WorkerId>;
  /** Workers that have held members of this epoch. */
  formerWorkers: Set<WorkerId>;
  /** When a worker last reported members of the run. */
  lastSeen: Milliseconds;
}

/** Everything that an entry knows about jobs. */
export interface JobsState {
  /** Number of jobs that have not ended. */
  readonly open: number;
  /** Time of the last event. */
  now: Milliseconds;
  /** Time of the first event. */
  startedAt: Milliseconds | undefined;
  /** Jobs that this entry owns, submits or claims. */
  jobs: Map<JobId, Job>;
  /** Records of open jobs that other entries own, as last loaded. */
  foreign: Map<JobId, { record: JobRecord; revision: number }>;
  /** Records of jobs of this entry that ended recently, oldest first. */
  ended: Map<JobId, JobRecord>;
  /** Cancellations to be written into records of other entries' jobs. */
  cancels: Map<JobId, PendingCancel>;
  /** Queued jobs of each team, one set for each level. */
  queues: Map<TeamName, Set<Job>[]>;
  timers: TimerQueue<Job>;
  /** Parts of own gangs, by worker. */
  parts: Map<WorkerId, Map<JobId, Part>>;
  /** What holds the capacity of each worker, as placement needs it. */
  views: Map<WorkerId, WorkerView>;
  /** Runs of all entries, as reported by agents. */
  runs: Map<JobId, SeenRun>;
  /** Number of accelerators that each team holds. */
  held: Map<TeamName, number>;
  /** Workers that were lost and on which leases may not have lapsed yet. */
  lost: Set<WorkerId>;
  /** Index of the homes table that is given with it. */
  homes: { table: HomesTable | undefined; index: HomeIndex };
  /** Increases whenever a gang that did not fit may fit now. */
  capacityVersion: number;
  /**
   * Why jobs of a placement key found no place, which holds as long as the
   * version equals `capacityVersion`.
   */
  noPlace: Map<string, { version: number; reason: string }>;
  /**
   * Whether recently submitted gangs can never run, even on idle workers, by
   * their shape key.
   */
  fitCache: { until: Milliseconds; never: Map<string, boolean> };
  /** Whether the next tick begins a round of placement. */
  roundDue: boolean;
  /** A round of placement begins at this time even if none is due. */
  nextRound: Milliseconds;
  /** No round begins earlier, which bounds the time that placement takes. */
  earliestRound: Milliseconds;
  /** When `capacityVersion` increases without an event that frees capacity. */
  nextRefresh: Milliseconds;
  /** The hold for a large gang, of which there is one at most. */
  hold: Hold | undefined;
  /** Averages of observed run times, by kind of work. */
  runTimes: Map<string, Milliseconds>;
  /** Number of the last write. */
  writes: number;
  writesInFlight: number;
  /** Jobs whose write is delayed because too many are in flight. */
  delayedWrites: Set<Job>;
  /** Delayed writes start no earlier, after a failed write. */
  writesPausedUntil: Milliseconds;
  /** Since when the store has not answered; undefined while it answers. */
  storeDownSince: Milliseconds | undefined;
  /** When all records are requested next. */
  nextLoad: Milliseconds;
  /** End of the entry's own lease, as of its last renewal. */
  leaseValidUntil: Milliseconds;
  /**
   * How many times all records must be loaded before anything starts. Above 0
   * if other entries may have taken over jobs of this one, because it was
   * paused or its lease lapsed.
   */
  loadsRequired: number;
  /** Whether records were requested and have not arrived. */
  loading: boolean;
  /** Configuration from which the urgency of jobs was last determined. */
  configuration: Configuration | undefined;
  /** Keys of the live entries as last seen, empty before the first time. */
  presence: string;
  /** When each owner was first missing in the list of live entries. */
  absentSince: Map<string, Milliseconds>;
  /** Since when each job without a live owner waits for one. */
  unownedSince: Map<JobId, Milliseconds>;
  /** When jobs without a live owner are looked at next. */
  nextTakeover: Milliseconds;
  /** When queued jobs are next checked for jobs that can never run. */
  nextFitCheck: Milliseconds;
  /** When each worker was last seen connected, within the last hour. */
  workersSeen: Map<WorkerId, Milliseconds>;
  /** When shutdown began; undefined before that. */
  stoppingSince: Milliseconds | undefined;
}

/** Creates the state for an entry that has just started. */
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
