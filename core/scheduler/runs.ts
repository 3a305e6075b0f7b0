/**
 * Runs and the capacity that they occupy.
 *
 * @module
 */

import type { Milliseconds } from "@dragonflyledge/model";
import { formatTask, TaskPhase } from "./job.ts";
import type { Step, TaskName, TaskProgress } from "./job.ts";
import { runKey } from "./messages.ts";
import type { Capacity } from "./messages.ts";
import type { Job, Run, SchedulerState, Worker } from "./state.ts";
import { Isolation, isolationOf } from "./place/suspects.ts";

/** Capacity that one task of a step occupies; idle cores count as none. */
export function taskCapacity(step: Step): Capacity {
  return {
    millicores: step.fillsIdleCores ? 0 : step.millicores,
    megabytes: step.megabytes,
    accelerators: step.accelerators,
  };
}

/** Adds `sign` times `amount` to `total`. */
export function addCapacity(
  total: Capacity,
  amount: Capacity,
  sign: 1 | -1,
): void {
  total.millicores += sign * amount.millicores;
  total.megabytes += sign * amount.megabytes;
  total.accelerators += sign * amount.accelerators;
}

/** Returns the progress of a task, or undefined if the job has no such task. */
export function findTask(job: Job, name: TaskName): TaskProgress | undefined {
  const occurrence = job.progress.occurrences
    .find((each) => each.index === name.occurrence);
  return occurrence?.steps[name.step]?.[name.index];
}

/** Progress of the task, or of all tasks of its gang. */
export function tasksOf(job: Job, name: TaskName): TaskProgress[] {
  const occurrence = job.progress.occurrences
    .find((each) => each.index === name.occurrence);
  const tasks = occurrence?.steps[name.step] ?? [];
  return job.request.steps[name.step]!.gang
    ? tasks
    : tasks.slice(name.index, name.index + 1);
}

/** Records a run that may occupy capacity on a worker. */
export function addRun(fields: {
  state: SchedulerState;
  job: Job;
  task: TaskName;
  run: number;
  agent: string;
  worker: string;
  ordered: boolean;
  confirmed: boolean;
  now: number;
}): Run {
  const { state, job, task } = fields;
  const run: Run = {
    task,
    name: formatTask(task),
    run: fields.run,
    job,
    step: job.request.steps[task.step]!,
    agent: fields.agent,
    worker: fields.worker,
    version: job.version,
    ordered: fields.ordered,
    confirmed: fields.confirmed,
    startOpen: false,
    settled: false,
    isolation: isolationOf(tasksOf(job, task)),
    stopping: false,
    overdue: false,
    percent: 0,
    progressAt: fields.now,
    startedAt: fields.now,
  };
  state.runs.set(runKey({ task: run.name, run: run.run }), run);
  job.runs.add(run);
  const worker = state.workers.get(run.worker);
  if (worker) addToWorker(worker, run);
  return run;
}

/** Notes that the worker lists the run, and with it perhaps its whole gang. */
export function noteListed(run: Run, now: Milliseconds): void {
  run.confirmed = true;
  if (run.assembledAt !== undefined) return;
  const members = gangOf(run).filter((member) => member.run === run.run);
  const expected = run.step.gang ? run.step.count : 1;
  if (members.length < expected) return;
  if (!members.every(({ confirmed }) => confirmed)) return;
  for (const member of members) member.assembledAt = now;
}

/** Adds the run to its worker and to the capacity in use there. */
export function addToWorker(worker: Worker, run: Run): void {
  if (worker.runs.has(run)) return;
  worker.runs.add(run);
  if (run.step.checkpointing) worker.checkpointingRuns++;
  if (run.isolation !== Isolation.None) worker.isolatedRuns++;
  if (run.stopping) worker.stoppingRuns++;
  addCapacity(worker.used, taskCapacity(run.step), 1);
}

/** Lets others join the run on its worker. */
export function endIsolation(state: SchedulerState, run: Run): void {
  if (run.isolation === Isolation.None) return;
  run.isolation = Isolation.None;
  const worker = state.workers.get(run.worker);
  if (worker?.runs.has(run)) worker.isolatedRuns--;
}

/** Moves a run to the worker with this key, which need not be known yet. */
export function moveRun(state: SchedulerState, run: Run, key: string): void {
  if (run.worker === key) return;
  removeFromWorker(state, run);
  run.worker = key;
  const worker = state.workers.get(key);
  if (worker) addToWorker(worker, run);
}

/** Removes a run that has ended and frees its capacity. */
export function removeRun(state: SchedulerState, run: Run): void {
  state.planDue = true;
  state.runs.delete(runKey({ task: run.name, run: run.run }));
  run.job.runs.delete(run);
  removeFromWorker(state, run);
  state.changedAgents.add(run.agent);
}

function removeFromWorker(state: SchedulerState, run: Run): void {
  const worker = state.workers.get(run.worker);
  if (worker?.runs.delete(run)) {
    if (run.step.checkpointing) worker.checkpointingRuns--;
    if (run.isolation !== Isolation.None) worker.isolatedRuns--;
    if (run.stopping) worker.stoppingRuns--;
    addCapacity(worker.used, taskCapacity(run.step), -1);
  }
}

/** Whether the run is its task's latest one and is still wanted. */
export function isCurrent(run: Run): boolean {
  const task = findTask(run.job, run.task);
  return task !== undefined && task.phase === TaskPhase.Assigned &&
    task.run === run.run;
}

/** Whether the run is its task's latest one and the task is not done. */
export function isLatest(run: Run): boolean {
  const task = findTask(run.job, run.task);
  return task !== undefined && task.phase !== TaskPhase.Done &&
    task.run === run.run;
}

/** Orders a run to stop; its capacity stays occupied until it ends. */
export function stopRun(state: SchedulerState, run: Run): void {
  if (run.stopping) return;
  run.stopping = true;
  const worker = state.workers.get(run.worker);
  if (worker?.runs.has(run)) worker.stoppingRuns++;
  state.changedAgents.add(run.agent);
}

/** Runs that start and end together with `run`, itself included. */
export function gangOf(run: Run): Run[] {
  if (!run.step.gang) return [run];
  return [...run.job.runs].filter((other) =>
    other.task.occurrence === run.task.occurrence &&
    other.task.step === run.task.step
  );
}
