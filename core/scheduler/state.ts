/**
 * State of the scheduler, owned by its reducer.
 *
 * @module
 */

import type { Milliseconds } from "@dragonflyledge/model";
import type {
  JobProgress,
  JobRequest,
  QueuePolicy,
  Step,
  TaskName,
} from "./job.ts";
import type { SchedulerEffect } from "./effects.ts";
import type { StepOutcomes } from "./health/step_outcomes.ts";
import type { WorkerHealth } from "./health/worker_health.ts";
import type { Isolation } from "./place/suspects.ts";
import type { Survey } from "./wait/survey.ts";
import type { Interference } from "./interference/interference.ts";
import type { RateNotices } from "./rates/rate_notices.ts";
import type { RateEstimator, WorkerRates } from "./rates/rate_estimator.ts";
import type {
  AgentReport,
  Capacity,
  EndedTask,
  Fence,
  KnownRate,
  WorkerState,
} from "./messages.ts";

/** A job with its record and the state that only this process keeps. */
export interface Job {
  request: JobRequest;
  /** Bytes of the request's `spec` in UTF-8. */
  specSize: number;
  progress: JobProgress;
  policy: QueuePolicy;
  cancelled: boolean;
  /** Grows with each change of `progress`. */
  version: number;
  /** Highest version that the store has confirmed. */
  storedVersion: number;
  /** Runs that may occupy capacity. */
  runs: Set<Run>;
  /** Time at which a step became ready, by `stepKey`. */
  readyAt: Map<string, Milliseconds>;
  /** Time at which a step's wait was last logged, by `stepKey`. */
  waitNotedAt: Map<string, Milliseconds>;
  /** Outcomes of the steps of which a run has failed, by `stepKey`. */
  outcomes: Map<string, StepOutcomes>;
  /** Tasks of other jobs that were on workers which its tasks may have crashed. */
  crashCompanions: CrashCompanion[];
}

/** A crash for which one of two tasks is known as a likely cause. */
export interface CrashCompanion {
  /** Name of the likely cause. */
  cause: string;
  /** The other task, and the crash under it. */
  crash: UnexplainedCrash;
}

/** A crash under a task that counts for it until its cause is known. */
export interface UnexplainedCrash {
  job: Job;
  task: TaskName;
  /** Whether it does not count any more. */
  explained: boolean;
}

/** A run that was decided on and is not known to have ended. */
export interface Run {
  task: TaskName;
  /** `task` as formatted by `formatTask`. */
  name: string;
  run: number;
  job: Job;
  step: Step;
  agent: string;
  worker: string;
  /** The start may be ordered once this version of the job is stored. */
  version: number;
  /**
   * Whether its start may have been sent to the agent, by this leader or an
   * earlier one.
   */
  ordered: boolean;
  /** Whether the worker has listed the run. */
  confirmed: boolean;
  /** Whether a start call for the run has no answer, by the latest report. */
  startOpen: boolean;
  /**
   * When this process first saw all runs listed that work only together with
   * this one.
   */
  assembledAt?: Milliseconds;
  /** Whether it has been at work for SETTLE_TIME. */
  settled: boolean;
  isolation: Isolation;
  /** Whether the run was told to stop; it still occupies its capacity. */
  stopping: boolean;
  /** Whether its start was logged as not confirmed in time. */
  overdue: boolean;
  /** Progress in percent, as of `progressAt`. */
  percent: number;
  progressAt: Milliseconds;
  startedAt: Milliseconds;
}

/** A worker incarnation. */
export interface Worker {
  state: WorkerState;
  /** Most of each resource that the incarnation has announced. */
  full: Capacity;
  agent: string;
  /** Whether the worker itself has listed its runs to its agent. */
  listed: boolean;
  used: Capacity;
  runs: Set<Run>;
  /** Number of `runs` that save checkpoints. */
  checkpointingRuns: number;
  /** Number of `runs` that are isolated. */
  isolatedRuns: number;
  /** Number of `runs` that were told to stop. */
  stoppingRuns: number;
  /** Time until which the worker is avoided after a refusal. */
  avoidUntil: Milliseconds;
  /** When a draining worker leaves at the earliest, by its latest notice. */
  leaving?: { remaining: Milliseconds; at: Milliseconds };
  health: WorkerHealth;
  /** Ended runs whose job version is not stored yet, in order. */
  unstoredEnds: UnstoredEnd[];
  /** All ended runs up to this number are stored. */
  acknowledged: number;
  /** Highest number of an ended run that was applied. */
  appliedEnd: number;
}

/** An ended run that was applied, and the job version that contains it. */
export interface UnstoredEnd {
  number: number;
  job?: Job;
  version: number;
}

/** An agent and the worker beside it. */
export interface Agent {
  name: string;
  lastHeard: Milliseconds;
  /** `sentAt` of its last report; undefined before the first. */
  lastReport?: Milliseconds;
  /** Whether its last report came over a link that is still open. */
  connected: boolean;
  /** Until then a run may be at work on its worker without a further grant. */
  leaseEnd: Milliseconds;
  /** Which of its runs have been lost by its silence since its last report. */
  loss: AgentLoss;
  worker?: Worker;
  /** Rate of the worker in the last report. */
  returnedRate?: KnownRate;
  /** Recent outages of the worker and of its earlier incarnations. */
  outages: Outage[];
}

/** A span of time in which a worker ended or fell silent. */
export interface Outage {
  worker: string;
  /** When the worker last showed that it lives. */
  from: Milliseconds;
  /** When a call to it first failed. */
  to: Milliseconds;
  /** Whether any run had just begun on it. */
  begun: boolean;
  /** Whether it is known that no run was on it. */
  idle: boolean;
  /** Names of the tasks that may have been at work on it. */
  tasks: string[];
}

/** Which runs of an agent are lost since nothing is heard of it. */
export const AgentLoss = {
  None: "none",
  /** Those that its worker has listed to this leader. */
  ListedRuns: "listed runs",
  AllRuns: "all runs",
} as const;
export type AgentLoss = typeof AgentLoss[keyof typeof AgentLoss];

/** Settings of queues and teams in the newest configuration. */
export interface Policies {
  queues: Map<string, QueuePolicy>;
  /** Accelerators guaranteed to the urgent jobs of each team. */
  guarantees: Map<string, number>;
  /** Failure domains on whose workers nothing more is started. */
  evacuated: ReadonlySet<string>;
}

/** Time limits that follow from the deployment's settings. */
export interface SchedulerTimes {
  /** After this time without a report, an agent's grant has ended. */
  agentLoss: Milliseconds;
  /**
   * After this time without a report, nothing is at work that a worker of the
   * agent has not listed to this leader.
   */
  unlistedLoss: Milliseconds;
  /** Agents without a report for this long are forgotten. */
  agentRetention: Milliseconds;
  /** Jobs with a final status are kept for this long. */
  retention: Milliseconds;
  /**
   * Shortest time between two rounds of planning, so that the reports that
   * arrive together lead to one round; 0 to plan after each event.
   */
  planningInterval: Milliseconds;
}

/** State of the scheduler; changed in place by its reducer. */
export interface SchedulerState {
  times: SchedulerTimes;
  policies: Policies;
  jobs: Map<string, Job>;
  /** Jobs whose status is not final. */
  active: Set<Job>;
  agents: Map<string, Agent>;
  workers: Map<string, Worker>;
  runs: Map<string, Run>;
  /** Jobs of which a task has started, which the store does not know yet. */
  unsavedBegun: Set<Job>;
  /** When the beginnings of jobs were last given to the store. */
  begunSavedAt: Milliseconds;
  /** Jobs with new checkpoints that were not given to the store yet. */
  unsavedJobs: Set<Job>;
  /** When checkpoints were last given to the store. */
  checkpointsSavedAt: Milliseconds;
  /** How fast the workers run tasks. */
  rates: WorkerRates;
  /** Learns `rates` from what the workers list. */
  rateEstimator: RateEstimator;
  /** What was logged of the rates. */
  rateNotices: RateNotices;
  /** Which kinds of tasks slow each other down on one worker. */
  interference: Interference;
  /** Set while a new leader waits for the first reports of the fleet. */
  survey?: Survey;
  /** Whether a change may let waiting tasks start, so that planning is due. */
  planDue: boolean;
  /** Time of the last round of planning. */
  plannedAt: Milliseconds;
  /**
   * Unix time less monotonic time, as of the latest event that tells it;
   * undefined before the first.
   */
  dateOffset?: Milliseconds;
  /** Whether a round was asked for that is due after `planningInterval`. */
  planRequested: boolean;
  /** Numbers of the holders, by agent; kept for agents that are forgotten. */
  fences: Map<string, Fence>;
  /** Agents to which new orders are to be sent. */
  changedAgents: Set<string>;
  /** Jobs whose progress is to be stored. */
  changedJobs: Set<Job>;
  effects: SchedulerEffect[];
}

/** Input of the reducer. `now` is monotonic, `date` is Unix time. */
export type SchedulerEvent =
  & { now: Milliseconds }
  & (
    | { kind: "policies"; policies: Policies }
    | { kind: "job"; request: JobRequest; progress?: JobProgress }
    | { kind: "cancel"; job: string; date: Milliseconds }
    | { kind: "agent"; agent: string }
    /** All jobs and agents of the store were passed to a new leader. */
    | { kind: "loaded" }
    | { kind: "report"; agent: string; report: AgentReport; date: Milliseconds }
    /** The link over which the agent's reports came has closed. */
    | { kind: "disconnected"; agent: string }
    | { kind: "stored"; job: string; version: number }
    | { kind: "tick"; date: Milliseconds }
    /** Answers the effect `planLater`. */
    | { kind: "plan" }
  );

/** Key of a step within its job, used for in-memory maps. */
export function stepKey(name: { occurrence: number; step: number }): string {
  return `${name.occurrence}.${name.step}`;
}

/** Whether this process has already applied an ended run. */
export function isApplied(worker: Worker, ended: EndedTask): boolean {
  return ended.number <= worker.appliedEnd;
}
