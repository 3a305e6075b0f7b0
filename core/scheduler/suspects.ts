/**
 * Decides which tasks are suspected of crashing workers, how they are kept
 * apart from others, and when they are given up.
 *
 * Load pattern: a task crashes each worker that starts it, and the tasks beside
 * it are lost with the worker. Each of these may be the cause. A suspect starts
 * on a worker of its own, where only it can be, and where nothing else is lost.
 *
 * @module
 */

import { SECOND } from "@dragonflyledge/model";
import type { Milliseconds } from "@dragonflyledge/model";
import { TaskPhase } from "./job.ts";
import type { CrashCounts, TaskProgress } from "./job.ts";
import type { Run, Worker } from "./state.ts";

/** A task that settles on no worker is given up after this many sole crashes. */
const EARLY_CRASH_LIMIT = 2;
/**
 * Same limit for a task that ran for a while each time, so that a worker's own
 * fault is as likely.
 */
const SOLE_CRASH_LIMIT = 3;
/** A task is given up after this many crashes, whatever else may be the cause. */
const CRASH_LIMIT = 5;
/**
 * A task that has run for a while when its worker crashes is suspected only
 * after this many crashes. One crash may have any cause.
 */
const SUSPICION_LIMIT = 2;
/** A run that its worker has listed for this long has outlived its start. */
const SETTLE_TIME: Milliseconds = SECOND;

/** How long others are kept off the worker of a run. */
export const Isolation = {
  None: "none",
  /** Until the run has settled. */
  Start: "start",
  /** Until it ends; only urgent tasks may join it once it has settled. */
  Whole: "whole",
} as const;
export type Isolation = typeof Isolation[keyof typeof Isolation];

/** Whether the job of the task fails, since the task crashes its workers. */
export function isGivenUp({ total, early, sole }: CrashCounts): boolean {
  return total >= CRASH_LIMIT || sole >= SOLE_CRASH_LIMIT ||
    (sole >= EARLY_CRASH_LIMIT && early >= EARLY_CRASH_LIMIT);
}

/** Whether the task is suspected of crashing workers. */
export function isSuspect({ total, early }: CrashCounts): boolean {
  return early > 0 || total >= SUSPICION_LIMIT;
}

/** Isolation of a run of these tasks, which start together. */
export function isolationOf(tasks: TaskProgress[]): Isolation {
  const suspects = tasks
    .filter(({ phase, crashes }) =>
      phase !== TaskPhase.Done && isSuspect(crashes)
    );
  if (suspects.length === 0) return Isolation.None;
  const early = suspects
    .every(({ crashes }) => crashes.total === crashes.early);
  return early ? Isolation.Start : Isolation.Whole;
}

/** Whether a run on the worker keeps off a new task. */
export function isClosed(
  worker: Worker,
  urgent: boolean,
  now: Milliseconds,
): boolean {
  if (worker.isolatedRuns === 0) return false;
  for (const run of worker.runs) {
    if (run.isolation === Isolation.None) continue;
    const open = isSettled(run, now) &&
      (run.isolation === Isolation.Start || urgent);
    if (!open) return true;
  }
  return false;
}

function isSettled(run: Run, now: Milliseconds): boolean {
  return run.confirmedAt !== undefined &&
    now - run.confirmedAt >= SETTLE_TIME;
}
