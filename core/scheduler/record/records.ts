/**
 * Compact form in which a job's progress is stored.
 *
 * @module
 */

import { attributableCrashes, FailureCode, JobStatus } from "../job.ts";
import type {
  CrashCounts,
  JobFailure,
  JobProgress,
  TaskPhase,
  TaskProgress,
} from "../job.ts";

/** Counts of crashes are left out if there are none. */
type TaskRow = [
  number,
  number,
  string,
  string,
  string,
  number,
  number,
  ...(CrashRow | []),
];
/** The last four fields are missing in records of older builds. */
type CrashRow = [
  number,
  number,
  number,
  number,
  number,
  number,
  number?,
  number?,
  number?,
  number?,
];
type OccurrenceRow = [number, TaskRow[][]];
type FailureRow = [string, string, number];

/**
 * Progress as plain arrays, which the store's encoder writes compactly. Only
 * that of a failed job has a failure. Records of older builds do not tell at the
 * end whether a task has started.
 */
export type ProgressRow = [
  string,
  number,
  number,
  OccurrenceRow[],
  (FailureRow | undefined)?,
  boolean?,
];

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
    ...packCrashes(task),
  ];
  return [
    progress.status,
    progress.finishedAt,
    progress.nextOccurrence,
    progress.occurrences.map((occurrence) => [
      occurrence.index,
      occurrence.steps.map((tasks) => tasks.map(packTask)),
    ]),
    packFailure(progress.failure),
    progress.begun,
  ];
}

function packCrashes(
  { crashes }: TaskProgress,
): CrashRow | [] {
  const { early, soleEarly, late, soleLate, untold, workedFor } = crashes;
  const { total, explained, longestWork, lateStarts } = crashes;
  const known = total + explained + attributableCrashes(crashes);
  return known === 0 ? [] : [
    early,
    soleEarly,
    late,
    soleLate,
    untold,
    workedFor,
    total,
    explained,
    longestWork,
    lateStarts,
  ];
}

function packFailure(
  failure: JobFailure | undefined,
): FailureRow | undefined {
  return failure && [failure.code, failure.task, failure.count];
}

function unpackFailure(row: FailureRow | undefined): JobFailure | undefined {
  const code = Object.values(FailureCode).find((each) => each === row?.[0]);
  return row && code && { code, task: row[1], count: row[2] };
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
    crashes: unpackCrashes(task.slice(CRASH_ROW_START) as CrashRow | []),
  });
  const statuses: string[] = Object.values(JobStatus);
  return {
    status:
      (statuses.includes(row[0]) ? row[0] : JobStatus.Queued) as JobStatus,
    begun: row[5] ?? hasRuns(row),
    finishedAt: row[1],
    failure: unpackFailure(row[4]),
    nextOccurrence: row[2],
    occurrences: row[3].map(([index, steps]) => ({
      index,
      steps: steps.map((tasks) => tasks.map(unpackTask)),
    })),
  };
}

function unpackCrashes(row: CrashRow | []): CrashCounts {
  const [early = 0, soleEarly = 0, late = 0, soleLate = 0, untold = 0] = row;
  const [, , , , , workedFor = 0, total, explained = 0] = row;
  const [longestWork = 0, lateStarts = 0] = row.slice(LONGEST_WORK);
  return {
    early,
    soleEarly,
    late,
    soleLate,
    untold,
    workedFor,
    total: total ?? attributableCrashes({ early, late, untold }),
    explained,
    longestWork,
    lateStarts,
  };
}

/** Whether any task of the job was ever placed on a worker. */
function hasRuns(row: ProgressRow): boolean {
  return row[3].some(([, steps]) =>
    steps.some((tasks) => tasks.some(([, run]) => run > 0))
  );
}

/** Types of the fields of a task's row; the last ones may be missing. */
const TASK_FIELDS = [
  "number",
  "number",
  "string",
  "string",
  "string",
  "number",
  "number",
  "number",
  "number",
  "number",
  "number",
  "number",
  "number",
  "number",
  "number",
  "number",
  "number",
];
const MIN_TASK_FIELDS = 6;
/** Index of the first count of crashes in a task's row. */
const CRASH_ROW_START = 7;
/** Index of the longest work in the row of crashes. */
const LONGEST_WORK = 8;

function isProgressRow(value: unknown): value is ProgressRow {
  return Array.isArray(value) && typeof value[0] === "string" &&
    typeof value[1] === "number" && typeof value[2] === "number" &&
    Array.isArray(value[3]) && value[3].every(isOccurrenceRow) &&
    (value[4] === undefined || isFailureRow(value[4])) &&
    (value[5] === undefined || typeof value[5] === "boolean");
}

function isFailureRow(value: unknown): value is FailureRow {
  return Array.isArray(value) && typeof value[0] === "string" &&
    typeof value[1] === "string" && typeof value[2] === "number";
}

function isOccurrenceRow(value: unknown): boolean {
  return Array.isArray(value) && typeof value[0] === "number" &&
    Array.isArray(value[1]) &&
    value[1].every((step) => Array.isArray(step) && step.every(isTaskRow));
}

function isTaskRow(value: unknown): boolean {
  return Array.isArray(value) && value.length >= MIN_TASK_FIELDS &&
    value.every((field, index) =>
      // Later builds may add fields.
      index >= TASK_FIELDS.length || typeof field === TASK_FIELDS[index]
    );
}
