/**
 * Jobs and their steps: the submitted request and the progress.
 *
 * @module
 */

import type { Milliseconds } from "@dragonflyledge/model";

/**
 * Most tasks of a job, over all its occurrences. Their progress is stored in
 * one value, which may have a mebibyte.
 */
export const MAX_TASKS = 8000;

/** A step of a job: a number of equal tasks and what each of them needs. */
export interface Step {
  /** Number of tasks. */
  count: number;
  /** Thousandths of a core that each task uses. */
  millicores: number;
  megabytes: number;
  accelerators: number;
  /** Estimated run time of one task. */
  estimate: Milliseconds;
  /** Indexes of earlier steps that must complete first. */
  after: number[];
  /** Whether all tasks start and end together under one run number. */
  gang: boolean;
  /**
   * Whether a gang should be placed in one rack; across racks it runs several
   * times slower.
   */
  sameRack: boolean;
  /** Whether the tasks save their progress and can resume from it. */
  checkpointing: boolean;
  /** Whether the tasks run until the job is cancelled. */
  longRunning: boolean;
  /** Label that the worker must have; empty for any worker. */
  label: string;
  /** Rack that holds the data of the step; empty if there is none. */
  dataRack: string;
  /** Highest number of the step's tasks on one worker; 0 means no limit. */
  maxPerWorker: number;
  /** Names what the tasks run; empty if unknown. Equal images behave alike. */
  image: string;
  /** Whether the step uses cores that other tasks leave idle. */
  fillsIdleCores: boolean;
}

/** Times at which a job that runs repeatedly is due. */
export interface Schedule {
  /** Unix time of the first occurrence. */
  first: Milliseconds;
  interval: Milliseconds;
  occurrences: number;
}

/** Settings of a queue that apply to its jobs. */
export interface QueuePolicy {
  service: string;
  /** 0 is the most urgent priority and may preempt the others. */
  priority: number;
  maxAttempts: number;
  /**
   * Multiple of its longest chain of work in which a job should complete;
   * undefined if the queue has no objective, and in records of older builds.
   */
  slackFactor?: number;
  /** Time that the objective allows in addition; 0 if it is undefined. */
  targetRuntime?: Milliseconds;
}

/** A job as it was accepted. */
export interface JobRequest {
  id: string;
  queue: string;
  team: string;
  /** Opaque text that is passed to the worker with each start of a task. */
  spec: string;
  steps: Step[];
  schedule?: Schedule;
  /** Policy of the queue at acceptance; applies if the queue is removed. */
  policy: QueuePolicy;
  /** Unix time at which the job was accepted. */
  acceptedAt: Milliseconds;
}

/** Status of a job; it is running once a task was placed on a worker. */
export const JobStatus = {
  Queued: "queued",
  Running: "running",
  Completed: "completed",
  Failed: "failed",
  Cancelled: "cancelled",
} as const;
export type JobStatus = typeof JobStatus[keyof typeof JobStatus];

/**
 * Phase of one task, stored as a number. In phase `Ending`, the latest run is
 * no longer wanted but not yet proven to have ended.
 */
export const TaskPhase = {
  Waiting: 0,
  Assigned: 1,
  Done: 2,
  Ending: 3,
} as const;
export type TaskPhase = typeof TaskPhase[keyof typeof TaskPhase];

/** Progress of one task, as it is stored. */
export interface TaskProgress {
  phase: TaskPhase;
  /** Number of the latest run; 0 before the first. */
  run: number;
  /** Name of the agent and key of the worker incarnation of the latest run. */
  agent: string;
  worker: string;
  checkpoint: string;
  /** Number of failed runs; a gang's run counts once for all its members. */
  failures: number;
  /** Run number of the latest run that was counted as failed. */
  failedRun: number;
  crashes: CrashCounts;
}

/** Workers that crashed while they ran a task which may be the cause. */
export interface CrashCounts {
  /** Crashes before the task had settled; 0 once a run of it has settled. */
  early: number;
  /** Those of `early` for which no other cause is likely. */
  soleEarly: number;
  /** Crashes after it had settled, and losses without a known reason. */
  late: number;
  /** Those of `late` for which no other cause is likely. */
  soleLate: number;
  /**
   * Workers that were replaced before the task had settled, without a report of
   * what happened; 0 once a run of it has settled. They make no suspect.
   */
  untold: number;
  /**
   * How long the task had worked at its latest crash if that was long, in
   * milliseconds; 0 otherwise.
   */
  workedFor: Milliseconds;
  /**
   * Crashes of any cause, also those that the other counts leave out or have
   * been cleared of; without `explained`.
   */
  total: number;
  /**
   * Crashes that are known to have another cause: an idle worker ended with
   * them, or a job was given up for them.
   */
  explained: number;
  /** Longest time for which the task had worked at any of these crashes. */
  longestWork: Milliseconds;
  /** Starts since the task has had so many crashes that they are counted. */
  lateStarts: number;
}

/** Why a job failed, as callers are told. */
export const FailureCode = {
  /** A task, or a gang, failed as often as its queue permits. */
  Attempts: "attempts-failed",
  /** Workers that started a task crashed again and again. */
  WorkerCrashes: "workers-crashed",
} as const;
export type FailureCode = typeof FailureCode[keyof typeof FailureCode];

/** Why a job failed, and the task that it failed for. */
export interface JobFailure {
  code: FailureCode;
  /** Name of the task. */
  task: string;
  /** Number of failed runs or of crashed workers. */
  count: number;
}

/** One execution of all steps of a job; a scheduled job has several. */
export interface Occurrence {
  index: number;
  steps: TaskProgress[][];
}

/** Progress of a job, stored separately from its request. */
export interface JobProgress {
  status: JobStatus;
  /** Whether any task has started, as a worker has shown. */
  begun: boolean;
  /** Unix time at which the status became final; 0 before that. */
  finishedAt: Milliseconds;
  /** Set when the status is `failed`; missing in records of older builds. */
  failure?: JobFailure;
  /** Index of the next occurrence to be created. */
  nextOccurrence: number;
  occurrences: Occurrence[];
}

/** Names a task by its job, occurrence, step and index. */
export interface TaskName {
  job: string;
  occurrence: number;
  step: number;
  index: number;
}

/** Creates the progress of a job that was just accepted. */
export function createProgress(): JobProgress {
  return {
    status: JobStatus.Queued,
    begun: false,
    finishedAt: 0,
    nextOccurrence: 0,
    occurrences: [],
  };
}

/** Whether a job with this status never changes it again. */
export function isFinal(status: JobStatus): boolean {
  return status === JobStatus.Completed || status === JobStatus.Failed ||
    status === JobStatus.Cancelled;
}

/** Formats a task's name as `job.occurrence.step.index`. */
export function formatTask(name: TaskName): string {
  return `${name.job}.${name.occurrence}.${name.step}.${name.index}`;
}

/** Parses a name that `formatTask` wrote; returns undefined for other text. */
export function parseTask(text: string): TaskName | undefined {
  const match = /^(.+)\.(\d+)\.(\d+)\.(\d+)$/.exec(text);
  if (!match) return undefined;
  return {
    job: match[1]!,
    occurrence: Number(match[2]),
    step: Number(match[3]),
    index: Number(match[4]),
  };
}

/** Creates the counts of a task under which no worker has crashed. */
export function createCrashCounts(): CrashCounts {
  return {
    early: 0,
    soleEarly: 0,
    late: 0,
    soleLate: 0,
    untold: 0,
    workedFor: 0,
    total: 0,
    explained: 0,
    longestWork: 0,
    lateStarts: 0,
  };
}

/** Number of crashes of which the task may be the cause. */
export function attributableCrashes(
  { early, late, untold }: Pick<CrashCounts, "early" | "late" | "untold">,
): number {
  return early + late + untold;
}

/** Creates an occurrence of which all tasks are waiting. */
export function createOccurrence(
  fields: { request: JobRequest; index: number },
): Occurrence {
  const steps = fields.request.steps.map((step) =>
    Array.from({ length: step.count }, () => ({
      phase: TaskPhase.Waiting as TaskPhase,
      run: 0,
      agent: "",
      worker: "",
      checkpoint: "",
      failures: 0,
      failedRun: 0,
      crashes: createCrashCounts(),
    }))
  );
  return { index: fields.index, steps };
}
