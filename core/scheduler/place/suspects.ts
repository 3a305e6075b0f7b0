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
import { TaskPhase } from "../job.ts";
import type { CrashCounts, TaskProgress } from "../job.ts";

/** A task that settles on no worker is given up after this many sole crashes. */
const SOLE_EARLY_CRASH_LIMIT = 2;
/**
 * Same limit for all sole crashes, since a worker's own fault is as likely where
 * the task had settled.
 */
const SOLE_CRASH_LIMIT = 3;
/**
 * A task is given up after this many crashes, whatever their likely cause: it
 * may be started twice more after three workers have crashed under it.
 */
const CRASH_LIMIT = 5;
/** Crashes under a task from which on its starts are counted. */
const LATE_CRASHES = 3;
/** Starts of a task after these crashes, at most. */
const LATE_START_LIMIT = 2;
/**
 * Explained crashes alone speak against no task, and the cause of the latest one
 * may show only later.
 */
const MIN_UNEXPLAINED = 2;
/**
 * A task that had settled when its worker crashed is suspected only after this
 * many crashes. One crash may have any cause.
 */
const LATE_SUSPICION_LIMIT = 2;
/** A run that its worker has listed for this long has settled. */
export const SETTLE_TIME: Milliseconds = 500;
/**
 * A run that was listed for this long counts as the cause of a crash only if
 * its task crashed its worker after the same time before.
 */
const PROOF_TIME: Milliseconds = 10 * SECOND;
/** Largest difference between two times of work that are taken for the same. */
const SAME_WORK_TOLERANCE: Milliseconds = 1500;
/** Same, as a share of the time. */
const SAME_WORK_SHARE = 0.1;

/** How long others are kept off the worker of a run. */
export const Isolation = {
  None: "none",
  /** Until the run has settled. */
  Start: "start",
  /**
   * Until it has worked for longer than at the crashes; only urgent tasks may
   * join it once it has settled.
   */
  Whole: "whole",
} as const;
export type Isolation = typeof Isolation[keyof typeof Isolation];

/** Whether the job of the task fails, since the task crashes its workers. */
export function isGivenUp(crashes: CrashCounts): boolean {
  const { total, explained } = crashes;
  return isProvenCause(crashes) ||
    (total >= MIN_UNEXPLAINED && total + explained >= CRASH_LIMIT);
}

/**
 * Whether the task has had so many crashes that it may only be started
 * LATE_START_LIMIT times more, however these runs end.
 */
export function countsStarts({ total, explained }: CrashCounts): boolean {
  return total >= MIN_UNEXPLAINED && total + explained >= LATE_CRASHES;
}

/** Whether the task may not be started any more. */
export function isOutOfStarts(crashes: CrashCounts): boolean {
  return countsStarts(crashes) && crashes.lateStarts >= LATE_START_LIMIT;
}

/** Whether the task has crashed workers where nothing else can be the cause. */
export function isProvenCause({ soleEarly, soleLate }: CrashCounts): boolean {
  return soleEarly >= SOLE_EARLY_CRASH_LIMIT ||
    soleEarly + soleLate >= SOLE_CRASH_LIMIT;
}

/** Whether the task is suspected of crashing workers. */
export function isSuspect({ early, late }: CrashCounts): boolean {
  return early > 0 || late >= LATE_SUSPICION_LIMIT;
}

/** How far a run had come when its worker crashed. */
export const RunStage = {
  /** It had not settled; a likely cause of the crash. */
  Begun: "begun",
  /** It had settled; a cause of the crash only if no other run had just begun. */
  Settled: "settled",
  /** It had worked for long; hardly the cause. */
  Proven: "proven",
} as const;
export type RunStage = typeof RunStage[keyof typeof RunStage];

/** Stage of a run that its worker had listed for `workedFor`. */
export function stageOf(workedFor: Milliseconds): RunStage {
  if (workedFor < SETTLE_TIME) return RunStage.Begun;
  return workedFor < PROOF_TIME ? RunStage.Settled : RunStage.Proven;
}

/** Whether both times, in which a task worked, may end at the same point. */
export function isSameWork(a: Milliseconds, b: Milliseconds): boolean {
  const tolerance = Math.max(SAME_WORK_TOLERANCE, SAME_WORK_SHARE * b);
  return Math.abs(a - b) <= tolerance;
}

/** Whether a run has worked for clearly longer than at any crash before. */
export function hasOutlived(
  { longestWork }: CrashCounts,
  workedFor: Milliseconds,
): boolean {
  return workedFor > longestWork && !isSameWork(longestWork, workedFor);
}

/** Isolation of a run of these tasks, which start together. */
export function isolationOf(tasks: TaskProgress[]): Isolation {
  const suspects = tasks
    .filter(({ phase, crashes }) =>
      phase !== TaskPhase.Done && isSuspect(crashes)
    );
  if (suspects.length === 0) return Isolation.None;
  const early = suspects.every(({ crashes }) => crashes.late === 0);
  return early ? Isolation.Start : Isolation.Whole;
}
