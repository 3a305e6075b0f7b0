/**
 * Applies the crashes of workers that agents report.
 *
 * @module
 */

import type { Milliseconds } from "@dragonflyledge/model";
import { loseRun } from "./endings.ts";
import { FailureCode, isFinal, JobStatus, TaskPhase } from "./job.ts";
import { runKey } from "./messages.ts";
import type { WorkerCrash } from "./messages.ts";
import { finishJob, markChanged } from "./progress.ts";
import { findTask } from "./runs.ts";
import type { Run, SchedulerState } from "./state.ts";
import { isGivenUp, isSuspect } from "./suspects.ts";

/** A run that was on a worker when it crashed. */
interface CrashedWorkerRun {
  run: Run;
  /** Whether the worker had listed the run for a while, beyond its start. */
  settled: boolean;
}

interface CrashFields {
  state: SchedulerState;
  date: Milliseconds;
}

/**
 * Counts a crash for each task that was on the worker, and loses their runs. A
 * crash whose runs are no longer known has been applied before.
 */
export function applyCrash(
  fields: CrashFields & { crash: WorkerCrash },
): void {
  const { state, crash } = fields;
  const present = findRuns(state, crash);
  if (present.length === 0) return;
  const begun = present.filter((each) => !each.settled);
  state.effects.push({
    kind: "log",
    level: "warn",
    text: "Runs were on a worker that crashed.",
    fields: {
      worker: crash.worker,
      settled: namesOf(present.filter((each) => each.settled)),
      begun: namesOf(begun),
    },
  });
  state.effects.push({ kind: "workerCrashed", begun: begun.length });
  // A task that has just begun is the likelier cause.
  const likely = begun.length > 0 ? begun : present;
  const isSole = new Set(likely.map(({ run }) => unitKey(run))).size === 1;
  for (const each of present) {
    const isLikely = likely.includes(each);
    countCrash(fields, each.run, {
      early: isLikely && !each.settled,
      sole: isLikely && isSole,
    });
  }
  for (const { run } of present) loseRun(state, run, "worker crashed");
}

/**
 * Counts the loss of a run whose worker, agent or machine is gone for a reason
 * that nobody knows. It counts only for a task that is suspected already.
 */
export function noteUnexplainedLoss(fields: CrashFields, run: Run): void {
  const task = findTask(run.job, run.task);
  if (!task || !isSuspect(task.crashes)) return;
  // The start of this run was never ordered.
  if (run.job.storedVersion < run.version) return;
  countCrash(fields, run, { early: false, sole: false });
}

function findRuns(
  state: SchedulerState,
  crash: WorkerCrash,
): CrashedWorkerRun[] {
  return crash.runs.flatMap((name) => {
    const run = state.runs.get(runKey(name));
    return run?.worker === crash.worker ? [{ run, settled: name.settled }] : [];
  });
}

/** Counts a crash for the run's task, and gives the job up at the limit. */
function countCrash(
  fields: CrashFields,
  run: Run,
  kind: { early: boolean; sole: boolean },
): void {
  const { state, date } = fields;
  const { job } = run;
  const task = findTask(job, run.task);
  if (!task || task.run !== run.run || task.phase === TaskPhase.Done) return;
  if (isFinal(job.progress.status)) return;
  const { crashes } = task;
  const wasSuspect = isSuspect(crashes);
  crashes.total++;
  if (kind.early) crashes.early++;
  if (kind.sole) crashes.sole++;
  markChanged(state, job);
  if (!wasSuspect && isSuspect(crashes)) {
    state.effects.push({ kind: "taskSuspected" });
  }
  state.effects.push({
    kind: "log",
    level: "warn",
    text: "A worker crashed under a task.",
    fields: {
      job: job.request.id,
      task: run.name,
      run: run.run,
      agent: run.agent,
      crashes: crashes.total,
      early: crashes.early,
      sole: crashes.sole,
      suspect: isSuspect(crashes),
    },
  });
  if (!isGivenUp(crashes)) return;
  const { total: count } = crashes;
  const failure = {
    code: FailureCode.WorkerCrashes,
    task: run.name,
    count,
  };
  finishJob({ state, job, status: JobStatus.Failed, failure, date });
}

/** Names what starts together: the gang of the run, or the run alone. */
function unitKey(run: Run): string {
  const { job, occurrence, step } = run.task;
  return run.step.gang ? `${job}.${occurrence}.${step}` : run.name;
}

function namesOf(runs: CrashedWorkerRun[]): string {
  return runs.map(({ run }) => runKey({ task: run.name, run: run.run })).join();
}
