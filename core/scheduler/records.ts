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

/** Converts the stored form, as written by `packProgress`, to progress. */
export function unpackProgress(row: ProgressRow): JobProgress {
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
