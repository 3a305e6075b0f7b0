/**
 * Applies the end of a run to its job and its worker.
 *
 * @module
 */

import type { Milliseconds } from "@dragonflyledge/model";
import {
  FailureCode,
  isFinal,
  JobStatus,
  parseTask,
  TaskPhase,
} from "../job.ts";
import { noteDone, noteFailed } from "../health/worker_health.ts";
import { RunEnding } from "../messages.ts";
import type { EndedTask } from "../messages.ts";
import { completeIfDone, finishJob, markChanged } from "../record/progress.ts";
import {
  findTask,
  gangOf,
  isCurrent,
  isLatest,
  removeRun,
  stopRun,
  tasksOf,
} from "../runs.ts";
import type { Job, Run, SchedulerState, Worker } from "../state.ts";

/** Applies an ended run that a worker lists. */
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
  if (ended.ending === RunEnding.Failed) noteFailed(worker, run, fields.now);
  if (ended.ending === RunEnding.Done) noteDone(state, worker, run);
  if (ended.ending === RunEnding.Done && !run.step.longRunning) {
    removeRun(state, run);
    if (isLatest(run)) markDone(fields);
    return;
  }
  if (ended.checkpoint !== "") keepCheckpoint(run, ended.checkpoint);
  if (ended.ending === RunEnding.Failed) countFailure(fields);
  endRun(state, run);
}

/**
 * Applies the end done of a run that counts as lost, unless its task has been
 * started again since. Returns the job if its progress has changed.
 */
export function applyLateEnding(fields: {
  state: SchedulerState;
  ended: EndedTask;
  date: Milliseconds;
}): Job | undefined {
  const { state, ended, date } = fields;
  const name = parseTask(ended.task);
  const job = name && state.jobs.get(name.job);
  if (!name || !job || ended.ending !== RunEnding.Done) return undefined;
  const step = job.request.steps[name.step];
  if (!step || step.longRunning || isFinal(job.progress.status)) {
    return undefined;
  }
  const task = findTask(job, name);
  if (task?.run !== ended.run || task.phase !== TaskPhase.Waiting) {
    return undefined;
  }
  for (const each of tasksOf(job, name)) each.phase = TaskPhase.Done;
  markChanged(state, job);
  completeIfDone({ state, job, date });
  return job;
}

/** Removes a run that ended without success, and stops the rest of its gang. */
function endRun(state: SchedulerState, run: Run): void {
  const members = gangOf(run).filter((member) => member !== run);
  const current = isCurrent(run);
  removeRun(state, run);
  requeueTask(state, run);
  if (!current) return;
  for (const member of members) {
    const task = findTask(member.job, member.task);
    if (task && isCurrent(member)) task.phase = TaskPhase.Ending;
    stopRun(state, member);
  }
}

/** Lets the task of a run that ended without success wait for another run. */
function requeueTask(state: SchedulerState, run: Run): void {
  const task = findTask(run.job, run.task);
  if (!task || task.run !== run.run || task.phase === TaskPhase.Done) return;
  task.phase = TaskPhase.Waiting;
  markChanged(state, run.job);
}

/** Treats a run as ended though its worker did not list it as ended. */
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

/** The same for a run that never began, whose start doesn't count. */
export function loseStart(
  state: SchedulerState,
  run: Run,
  reason: string,
): void {
  const crashes = findTask(run.job, run.task)?.crashes;
  if (crashes && isLatest(run) && crashes.lateStarts > 0) crashes.lateStarts--;
  loseRun(state, run, reason);
}

/** Marks the run's task, or its whole gang, as done. */
function markDone(
  fields: { state: SchedulerState; run: Run; date: Milliseconds },
): void {
  const { state, run } = fields;
  // A gang is done once any of its members is.
  for (const task of tasksOf(run.job, run.task)) task.phase = TaskPhase.Done;
  markChanged(state, run.job);
  completeIfDone({ state, job: run.job, date: fields.date });
}

/** Keeps a checkpoint for the task, or for the whole gang. */
function keepCheckpoint(run: Run, checkpoint: string): void {
  for (const task of tasksOf(run.job, run.task)) {
    if (task.run === run.run) task.checkpoint = checkpoint;
  }
}

/**
 * Counts a failed run, and fails the job after its last attempt. A gang's run
 * counts once, whichever member's end is listed first.
 */
function countFailure(fields: {
  state: SchedulerState;
  run: Run;
  date: Milliseconds;
}): void {
  const { state, run } = fields;
  const tasks = tasksOf(run.job, run.task);
  const { failedRun, phase } = tasks[0]!;
  if (run.run <= failedRun || phase === TaskPhase.Done) return;
  for (const task of tasks) {
    task.failures++;
    task.failedRun = run.run;
  }
  markChanged(state, run.job);
  if (run.step.longRunning) return;
  if (tasks[0]!.failures < run.job.policy.maxAttempts) return;
  const failure = {
    code: FailureCode.Attempts,
    task: run.name,
    count: tasks[0]!.failures,
  };
  finishJob({
    state,
    job: run.job,
    status: JobStatus.Failed,
    failure,
    date: fields.date,
  });
}
