/**
 * Compact form in which a job's progress is stored.
 *
 * @module
 */

import { JobStatus } from "./job.ts";
import type { JobProgress, TaskPhase, TaskProgress } from "./job.ts";

type TaskRow = [number, number, string, string, string, number, number];
type OccurrenceRow = [number, TaskRow[][]];

/** Progress as plain arrays, which the store's encoder writes compactly. */
export type ProgressRow = [string, number, number, OccurrenceRow[]];

/** Converts progress to its stored form. */
export function packProgress(progress: JobProgress): ProgressRow {
  const packTask = (task: TaskProgress): TaskRow => [
    task.phase,
    task.run,
    task.agent,
    task.worker,
    task.checkpoint,
    task.failures,
    task.failedRun,
  ];
  return [
    progress.status,
    progress.finishedAt,
    progress.nextOccurrence,
    progress.occurrences.map((occurrence) => [
      occurrence.index,
      occurrence.steps.map((tasks) => tasks.map(packTask)),
    ]),
  ];
}

/**
 * Converts the stored form, as written by `packProgress`, to progress. Throws
 * an error for another value.
 */
export function unpackProgress(value: unknown): JobProgress {
  if (!isProgressRow(value)) throw new Error("the value is no progress row");
  const row = value;
  const unpackTask = (task: TaskRow): TaskProgress => ({
    phase: task[0] as TaskPhase,
    run: task[1],
    agent: task[2],
    worker: task[3],
    checkpoint: task[4],
    failures: task[5],
    failedRun: task[6] ?? 0,
  });
  const statuses: string[] = Object.values(JobStatus);
  return {
    status:
      (statuses.includes(row[0]) ? row[0] : JobStatus.Queued) as JobStatus,
    finishedAt: row[1],
    nextOccurrence: row[2],
    occurrences: row[3].map(([index, steps]) => ({
      index,
      steps: steps.map((tasks) => tasks.map(unpackTask)),
    })),
  };
}

/** Whether any task of the job was ever started. */
export function hasBegun(progress: JobProgress): boolean {
  return progress.occurrences.some((occurrence) =>
    occurrence.steps.some((tasks) => tasks.some((task) => task.run > 0))
  );
}

/** Types of the fields of a task's row; the last one is missing in old rows. */
const TASK_FIELDS = [
  "number",
  "number",
  "string",
  "string",
  "string",
  "number",
  "number",
];
const MIN_TASK_FIELDS = 6;

function isProgressRow(value: unknown): value is ProgressRow {
  return Array.isArray(value) && typeof value[0] === "string" &&
    typeof value[1] === "number" && typeof value[2] === "number" &&
    Array.isArray(value[3]) && value[3].every(isOccurrenceRow);
}

function isOccurrenceRow(value: unknown): boolean {
  return Array.isArray(value) && typeof value[0] === "number" &&
    Array.isArray(value[1]) &&
    value[1].every((step) => Array.isArray(step) && step.every(isTaskRow));
}

function isTaskRow(value: unknown): boolean {
  return Array.isArray(value) && value.length >= MIN_TASK_FIELDS &&
    value.every((field, index) => typeof field === TASK_FIELDS[index]);
}
