/**
 * What the end of a run means for its job and its worker.
 *
 * @module
 */

import type { Milliseconds } from "@dragonflyledge/model";
import { JobStatus, TaskPhase } from "./job.ts";
import type { TaskProgress } from "./job.ts";
import { RunEnding } from "./messages.ts";
import type { EndedTask } from "./messages.ts";
import { completeIfDone, finishJob, markChanged } from "./progress.ts";
import {
  findTask,
  gangOf,
  isCurrent,
  isLatest,
  removeRun,
  stopRun,
} from "./runs.ts";
import type { Run, SchedulerState, Worker } from "./state.ts";

/** A worker is avoided for this long after a failure. */
const FAILURE_AVOIDANCE: Milliseconds = 1500;
/** Longest avoidance of a worker on which everything fails. */
const MAX_FAILURE_AVOIDANCE: Milliseconds = 6000;

/** Applies an end that a worker lists. */
export function applyEnding(fields: {
  state: SchedulerState;
  worker: Worker;
  run: Run;
  ended: EndedTask;
  now: Milliseconds;
  date: Milliseconds;
}): void {
  const { state, run, ended, worker } = fields;
  const current = isCurrent(run);
  state.effects.push({
    kind: "log",
    level: "info",
    text: "Run ended.",
    fields: {
      job: run.job.request.id,
      task: run.name,
      run: run.run,
      worker: run.worker,
      ending: ended.ending,
      current,
    },
  });
  if (ended.ending === RunEnding.Failed) avoidAfterFailure(worker, fields.now);
  if (ended.ending === RunEnding.Done) worker.failures = 0;
  if (ended.ending === RunEnding.Done && !run.step.longRunning) {
    removeRun(state, run);
    if (isLatest(run)) markDone(fields);
    return;
  }
  if (ended.checkpoint !== "") keepCheckpoint(run, ended.checkpoint);
  if (ended.ending === RunEnding.Failed) countFailure(fields);
  endRun(state, run);
}

/** Removes a run that is over, and ends the rest of its gang. */
function endRun(state: SchedulerState, run: Run): void {
  const mates = gangOf(run).filter((mate) => mate !== run);
  const current = isCurrent(run);
  removeRun(state, run);
  requeueTask(state, run);
  if (!current) return;
  for (const mate of mates) {
    const task = findTask(mate.job, mate.task);
    if (task && isCurrent(mate)) task.phase = TaskPhase.Ending;
    stopRun(state, mate);
  }
}

/** Makes the task of a run that is over without success wait again. */
function requeueTask(state: SchedulerState, run: Run): void {
  const task = findTask(run.job, run.task);
  if (!task || task.run !== run.run || task.phase === TaskPhase.Done) return;
  task.phase = TaskPhase.Waiting;
  markChanged(state, run.job);
}

/** Treats a run as over without an end that was listed. */
export function loseRun(
  state: SchedulerState,
  run: Run,
  reason: string,
): void {
  state.effects.push({
    kind: "log",
    level: "info",
    text: "Run lost.",
    fields: { job: run.job.request.id, task: run.name, run: run.run, reason },
  });
  endRun(state, run);
}

function markDone(
  fields: { state: SchedulerState; run: Run; date: Milliseconds },
): void {
  const { state, run } = fields;
  // One end of a gang stands for all of its members.
  for (const task of tasksOf(run)) task.phase = TaskPhase.Done;
  markChanged(state, run.job);
  completeIfDone({ state, job: run.job, date: fields.date });
}

/** Keeps a checkpoint for the task, or for the whole gang. */
function keepCheckpoint(run: Run, checkpoint: string): void {
  for (const task of tasksOf(run)) {
    if (task.run === run.run) task.checkpoint = checkpoint;
  }
}

/** Progress of the run's task, or of all tasks of its gang. */
function tasksOf(run: Run): TaskProgress[] {
  const occurrence = run.job.progress.occurrences
    .find((each) => each.index === run.task.occurrence);
  const tasks = occurrence?.steps[run.task.step] ?? [];
  return run.step.gang
    ? tasks
    : tasks.slice(run.task.index, run.task.index + 1);
}

/**
 * A gang fails as a whole, once for each run, also if the end of a member that
 * did not fail was listed before.
 */
function countFailure(fields: {
  state: SchedulerState;
  run: Run;
  date: Milliseconds;
}): void {
  const { state, run } = fields;
  const tasks = tasksOf(run);
  const { failedRun, phase } = tasks[0]!;
  if (run.run <= failedRun || phase === TaskPhase.Done) return;
  for (const task of tasks) {
    task.failures++;
    task.failedRun = run.run;
  }
  markChanged(state, run.job);
  if (run.step.longRunning) return;
  if (tasks[0]!.failures < run.job.policy.maxAttempts) return;
  finishJob({
    state,
    job: run.job,
    status: JobStatus.Failed,
    date: fields.date,
  });
}

function avoidAfterFailure(worker: Worker, now: Milliseconds): void {
  worker.failures++;
  const pause = Math.min(
    MAX_FAILURE_AVOIDANCE,
    FAILURE_AVOIDANCE * 2 ** (worker.failures - 1),
  );
  worker.avoidUntil = Math.max(worker.avoidUntil, now + pause);
}
