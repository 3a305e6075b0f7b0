/**
 * Counts crashes of workers for tasks, and gives jobs up at the limit.
 *
 * @module
 */

import type { Fields, Milliseconds } from "@dragonflyledge/model";
import {
  attributableCrashes,
  FailureCode,
  isFinal,
  JobStatus,
  TaskPhase,
} from "../job.ts";
import type { CrashCounts, TaskProgress } from "../job.ts";
import { finishJob, markChanged } from "../record/progress.ts";
import { findTask } from "../runs.ts";
import { Excuse } from "../effects.ts";
import type { Job, Run, SchedulerState } from "../state.ts";
import {
  isGivenUp,
  isProvenCause,
  isSuspect,
  SETTLE_TIME,
} from "../place/suspects.ts";
import { explainCrashes, forgetCompanions } from "./crash_companions.ts";

/** Longest time between two answers of a worker that is not silent. */
const ANSWER_INTERVAL: Milliseconds = 1200;

/** State of the scheduler, and the time of day. */
export interface CrashFields {
  state: SchedulerState;
  date: Milliseconds;
}

/** How a crash counts for a task. */
export interface CountedCrash {
  kind: "early" | "late" | "untold";
  /** Whether no other cause is likely. */
  sole: boolean;
}

/** Counts a crash for the run's task, and gives the job up at the limit. */
export function countCrash(
  fields: CrashFields,
  run: Run,
  { kind, sole }: CountedCrash,
): void {
  const { state } = fields;
  const task = findLatest(run);
  if (!task) return;
  const { crashes } = task;
  const wasSuspect = isSuspect(crashes);
  crashes[kind]++;
  crashes.total++;
  if (sole) crashes[kind === "early" ? "soleEarly" : "soleLate"]++;
  markChanged(state, run.job);
  if (!wasSuspect && isSuspect(crashes)) {
    state.effects.push({ kind: "suspicion", change: "raised" });
  }
  logCrash(state, run, crashes, "A worker crashed under a task.");
  if (isProvenCause(crashes)) explainCrashes(state, run);
  giveUpAtLimit(fields, run, crashes);
}

/**
 * Counts a crash that does not speak against the run's task only toward the
 * limit of all crashes, so that tasks which crash their workers together don't
 * excuse each other without end.
 */
export function excuseCrash(
  fields: CrashFields,
  run: Run,
  excuse: Excuse,
): void {
  const { state } = fields;
  const task = findLatest(run);
  if (!task) return;
  const { crashes } = task;
  const isExplained = excuse === Excuse.Outside || excuse === Excuse.GivenUp;
  crashes[isExplained ? "explained" : "total"]++;
  markChanged(state, run.job);
  state.effects.push({ kind: "crashExcused", excuse });
  logCrash(state, run, crashes, "A crash was excused.", { excuse });
  giveUpAtLimit(fields, run, crashes);
}

/** Progress of the run's task, if the run is its latest one and may go on. */
function findLatest(run: Run): TaskProgress | undefined {
  const task = findTask(run.job, run.task);
  if (!task || task.run !== run.run || task.phase === TaskPhase.Done) {
    return undefined;
  }
  return isFinal(run.job.progress.status) ? undefined : task;
}

function logCrash(
  state: SchedulerState,
  run: Run,
  crashes: CrashCounts,
  text: string,
  fields: Fields = {},
): void {
  state.effects.push({
    kind: "log",
    level: "warn",
    text,
    fields: {
      job: run.job.request.id,
      task: run.name,
      run: run.run,
      agent: run.agent,
      ...fields,
      ...crashes,
      suspect: isSuspect(crashes),
    },
  });
}

function giveUpAtLimit(
  { state, date }: CrashFields,
  run: Run,
  crashes: CrashCounts,
): void {
  if (isGivenUp(crashes)) {
    giveUp({ state, job: run.job, date }, run.name, crashes);
  }
}

/** Fails the job for crashes under its task. */
export function giveUp(
  fields: CrashFields & { job: Job },
  task: string,
  { total, explained }: CrashCounts,
): void {
  const failure = {
    code: FailureCode.WorkerCrashes,
    task,
    count: total + explained,
  };
  finishJob({ ...fields, status: JobStatus.Failed, failure });
}

/**
 * Notes that a worker which still answers has listed the run for SETTLE_TIME.
 * Once it has settled, the task's early crashes are cleared: a task that
 * crashes each worker that starts it never does, so that another task or the
 * worker was the cause.
 */
export function noteSettled(
  state: SchedulerState,
  run: Run,
  now: Milliseconds,
): void {
  if (run.settled || !hasAssembled(run, now)) return;
  run.settled = true;
  const task = findTask(run.job, run.task);
  if (!task || task.run !== run.run) return;
  const cleared = { early: 0, soleEarly: 0, untold: 0 };
  replaceCounts(state, run, { ...task.crashes, ...cleared });
}

/**
 * Whether a gang has been at work for SETTLE_TIME at the latest answer of each
 * of its workers; true for a run that works alone.
 */
function hasAssembled({ step, assembledAt }: Run, now: Milliseconds): boolean {
  if (!step.gang) return true;
  return assembledAt !== undefined &&
    now - assembledAt >= SETTLE_TIME + ANSWER_INTERVAL;
}

/** Replaces the task's counts after it was cleared of earlier crashes. */
export function replaceCounts(
  state: SchedulerState,
  run: Run,
  counts: CrashCounts,
): void {
  const task = findTask(run.job, run.task);
  if (!task || isFinal(run.job.progress.status)) return;
  const before = task.crashes;
  task.crashes = counts;
  if (attributableCrashes(before) <= attributableCrashes(counts)) return;
  if (attributableCrashes(counts) === 0) forgetCompanions(run);
  const wasSuspect = isSuspect(before);
  markChanged(state, run.job);
  if (wasSuspect && !isSuspect(counts)) {
    state.effects.push({ kind: "suspicion", change: "cleared" });
  }
  state.effects.push({
    kind: "log",
    level: "info",
    text: "A task is not the cause of earlier crashes.",
    fields: {
      job: run.job.request.id,
      task: run.name,
      run: run.run,
      crashes: attributableCrashes(counts),
      suspect: isSuspect(counts),
      wasSuspect,
    },
  });
}
