/**
 * Progress of a job: its due occurrences, ready steps and status.
 *
 * @module
 */

import type { Milliseconds } from "@dragonflyledge/model";
import { createOccurrence, isFinal, JobStatus, TaskPhase } from "../job.ts";
import type { JobFailure, Occurrence } from "../job.ts";
import { stopRun } from "../runs.ts";
import type { Job, SchedulerState } from "../state.ts";

/** Raises the job's version and marks its progress to be stored. */
export function markChanged(state: SchedulerState, job: Job): void {
  job.version++;
  state.changedJobs.add(job);
  state.unsavedBegun.delete(job);
}

/**
 * Notes that a worker has shown a run of the job. It is stored with the next
 * change of the job, or soon after.
 */
export function noteBegun(state: SchedulerState, job: Job): void {
  if (job.progress.begun) return;
  job.progress.begun = true;
  state.unsavedBegun.add(job);
}

/** Gives the job its final status and stops its remaining runs. */
export function finishJob(fields: {
  state: SchedulerState;
  job: Job;
  status: JobStatus;
  /** Why the job failed; only for that status. */
  failure?: JobFailure;
  date: Milliseconds;
}): void {
  const { state, job, status, failure } = fields;
  if (isFinal(job.progress.status)) return;
  job.progress.status = status;
  job.progress.finishedAt = fields.date;
  job.progress.failure = failure;
  state.active.delete(job);
  for (const run of job.runs) stopRun(state, run);
  markChanged(state, job);
  if (failure) state.effects.push({ kind: "jobFailed", code: failure.code });
  state.effects.push({
    kind: "log",
    level: "info",
    text: "Job finished.",
    fields: {
      job: job.request.id,
      status,
      version: job.version,
      ...(failure &&
        { failure: failure.code, task: failure.task, count: failure.count }),
    },
  });
}

/** Creates the occurrences of a job that are due at `date`. */
export function createDueOccurrences(
  fields: { state: SchedulerState; job: Job; date: Milliseconds },
): void {
  const { state, job, date } = fields;
  const { schedule } = job.request;
  const total = schedule?.occurrences ?? 1;
  while (job.progress.nextOccurrence < total) {
    const index = job.progress.nextOccurrence;
    const due = schedule ? schedule.first + index * schedule.interval : 0;
    if (due > date) return;
    job.progress.nextOccurrence++;
    job.progress.occurrences.push(
      createOccurrence({ request: job.request, index }),
    );
    markChanged(state, job);
  }
}

/** Indexes of the steps with waiting tasks whose earlier steps are all done. */
export function readySteps(job: Job, occurrence: Occurrence): number[] {
  const done = occurrence.steps.map((tasks) =>
    tasks.every((task) => task.phase === TaskPhase.Done)
  );
  return job.request.steps.flatMap((step, index) => {
    const waits = occurrence.steps[index]!
      .some((task) => task.phase === TaskPhase.Waiting);
    return waits && step.after.every((earlier) => done[earlier]) ? [index] : [];
  });
}

/** Completes the job if all tasks of all its occurrences are done. */
export function completeIfDone(
  fields: { state: SchedulerState; job: Job; date: Milliseconds },
): void {
  const { job } = fields;
  const total = job.request.schedule?.occurrences ?? 1;
  if (job.progress.nextOccurrence < total) return;
  const done = job.progress.occurrences.every((occurrence) =>
    occurrence.steps.every((tasks) =>
      tasks.every((task) => task.phase === TaskPhase.Done)
    )
  );
  if (done) finishJob({ ...fields, status: JobStatus.Completed });
}
