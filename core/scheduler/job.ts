/**
 * Jobs of steps, as they are submitted and as they progress.
 *
 * @module
 */

import type { Milliseconds } from "@dragonflyledge/model";

/** What one step asks for. */
export interface Step {
  count: number;
  /** Thousandths of a core for each task. */
  millicores: number;
  megabytes: number;
  accelerators: number;
  /** Rough run time of one task. */
  estimate: Milliseconds;
  /** Indexes of earlier steps that must be done first. */
  after: number[];
  /** All tasks run together under one run number. */
  gang: boolean;
  /** A gang that spans racks runs several times slower. */
  sameRack: boolean;
  checkpointing: boolean;
  /** Tasks run until the job is cancelled. */
  longRunning: boolean;
  /** Label that the worker must have, or empty. */
  label: string;
  /** Rack with the data, or empty. */
  dataRack: string;
  /** Most tasks of the step on one worker; 0 means no limit. */
  maxPerWorker: number;
  /** The step uses cores that other tasks leave idle. */
  fillsIdleCores: boolean;
}

/** Due times of a job that runs several times. */
export interface Schedule {
  /** Unix time of the first occurrence. */
  first: Milliseconds;
  interval: Milliseconds;
  occurrences: number;
}

/** Queue settings that apply to a job. */
export interface QueuePolicy {
  service: string;
  /** 0 is the most urgent, and may preempt others. */
  priority: number;
  maxAttempts: number;
}

/** A job as it was accepted. */
export interface JobRequest {
  id: string;
  queue: string;
  team: string;
  /** Opaque text that every start of a task carries. */
  spec: string;
  steps: Step[];
  schedule?: Schedule;
  /** Policy of the queue at acceptance, used once the queue is removed. */
  policy: QueuePolicy;
  /** Unix time of the acceptance. */
  acceptedAt: Milliseconds;
}

/** State of a job that callers are told. */
export const JobStatus = {
  Queued: "queued",
  Running: "running",
  Completed: "completed",
  Failed: "failed",
  Cancelled: "cancelled",
} as const;
export type JobStatus = typeof JobStatus[keyof typeof JobStatus];

/**
 * State of one task. The run of an ending task was given up, but it is not
 * proven yet that it is over.
 */
export const TaskPhase = {
  Waiting: 0,
  Assigned: 1,
  Done: 2,
  Ending: 3,
} as const;
export type TaskPhase = typeof TaskPhase[keyof typeof TaskPhase];

/** Progress of one task. */
export interface TaskProgress {
  phase: TaskPhase;
  /** Number of the latest run; 0 before the first. */
  run: number;
  /** Agent and worker incarnation of the latest run. */
  agent: string;
  worker: string;
  checkpoint: string;
  /** Runs that ended as failed; for a gang, those of all members. */
  failures: number;
  /** Number of the latest run that was counted as failed. */
  failedRun: number;
}

/** One repetition of all steps of a job. */
export interface Occurrence {
  index: number;
  steps: TaskProgress[][];
}

/** What the store keeps of a job beside its request. */
export interface JobProgress {
  status: JobStatus;
  /** Unix time at which the status became final, or 0. */
  finishedAt: Milliseconds;
  /** Index of the next occurrence to be created. */
  nextOccurrence: number;
  occurrences: Occurrence[];
}

/** Names a task: job, occurrence, step and index. */
export interface TaskName {
  job: string;
  occurrence: number;
  step: number;
  index: number;
}

/** Returns the progress of a job on which nothing was done. */
export function createProgress(): JobProgress {
  return {
    status: JobStatus.Queued,
    finishedAt: 0,
    nextOccurrence: 0,
    occurrences: [],
  };
}

/** Whether the status never changes again. */
export function isFinal(status: JobStatus): boolean {
  return status === JobStatus.Completed || status === JobStatus.Failed ||
    status === JobStatus.Cancelled;
}

/** Formats the name that workers and records use for a task. */
export function formatTask(name: TaskName): string {
  return `${name.job}.${name.occurrence}.${name.step}.${name.index}`;
}

/** Parses a task's name, or returns undefined for other text. */
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

/** Creates the tasks of the next occurrence. */
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
    }))
  );
  return { index: fields.index, steps };
}
