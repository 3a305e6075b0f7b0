/**
 * Decides how fast workers and steps with failed runs get further tasks.
 *
 * Load pattern: a worker that fails what it starts has room again at once, and
 * many tasks wait. Before its failures are known to be its own, it would get all
 * of them.
 *
 * @module
 */

import { SECOND } from "@dragonflyledge/model";
import type { Milliseconds } from "@dragonflyledge/model";
import { stepKey } from "../state.ts";
import type { Worker } from "../state.ts";
import type { Unit } from "../wait/units.ts";
import { isUnproven } from "./proof.ts";
import { HealthLevel } from "./worker_health.ts";

/** A worker with a failed run is avoided for this long. */
const FAILURE_AVOIDANCE: Milliseconds = 1500;
/**
 * Time from the start of the first failed run to a probe. Workers fail for 5 to
 * 7 s, so that a probe that comes much earlier only costs its task an attempt.
 */
const FIRST_PROBE_DELAY: Milliseconds = 6 * SECOND;
/** Time from the start of a probe that failed to the next one. */
const NEXT_PROBE_DELAY: Milliseconds = 3 * SECOND;

/** Whether tasks that can wait a moment avoid the worker. */
export function isAvoided(worker: Worker, now: Milliseconds): boolean {
  if (worker.avoidUntil > now) return true;
  const last = worker.health.failed.at(-1);
  return worker.health.avoided && last !== undefined &&
    now - last.at < FAILURE_AVOIDANCE;
}

/**
 * Whether a worker gets no start now: it refused several in a row, or a run has
 * failed on it and the latest one that it started may fail as well.
 */
export function takesNoneNow(worker: Worker, now: Milliseconds): boolean {
  const { level, failed, refusals } = worker.health;
  if (refusals > 1 && worker.avoidUntil > now) return true;
  const last = failed.at(-1);
  if (level !== HealthLevel.Doubtful || last === undefined) return false;
  return [...worker.runs].some((run) =>
    run.startedAt >= last.at && isUnproven(run, last.failedAfter, now)
  );
}

/**
 * Whether more tasks of the unit's step have to wait for one that is at work,
 * since its runs have failed and nowhere gone on.
 */
export function isStepPaced(unit: Unit, now: Milliseconds): boolean {
  const { job, occurrence, stepIndex, step } = unit;
  if (job.outcomes.size === 0 || step.gang) return false;
  const key = stepKey({ occurrence: occurrence.index, step: stepIndex });
  const outcomes = job.outcomes.get(key);
  if (!outcomes || outcomes.soundOn.size > 0) return false;
  for (const run of job.runs) {
    const isOther = run.task.step !== stepIndex ||
      run.task.occurrence !== occurrence.index;
    if (!isOther && isUnproven(run, outcomes.failedAfter, now)) return true;
  }
  return false;
}

/** Whether a worker on probation may get a probe, having none at work. */
export function isProbeDue(worker: Worker, now: Milliseconds): boolean {
  const { level, failed } = worker.health;
  if (level !== HealthLevel.Probation || worker.avoidUntil > now) return false;
  const starts = failed.map(({ startedAt }) => startedAt);
  const last = Math.max(...starts);
  const due = Math.max(
    Math.min(...starts) + FIRST_PROBE_DELAY,
    last + NEXT_PROBE_DELAY,
  );
  return now >= due &&
    [...worker.runs].every(({ startedAt }) => startedAt <= last);
}
