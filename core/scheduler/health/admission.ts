/**
 * Decides which workers a task may start on, given their health and its own
 * failures.
 *
 * Load pattern: workers that fail what they start always have room, and a task
 * that failed is the first of those that wait. Without a limit it starts again
 * and again where it failed, until it has no attempt left.
 *
 * @module
 */

import { SECOND } from "@dragonflyledge/model";
import type { Milliseconds } from "@dragonflyledge/model";
import { stepKey } from "../state.ts";
import type { Worker } from "../state.ts";
import type { Unit } from "../wait/units.ts";
import { HealthLevel } from "./worker_health.ts";

/** A task does not start on a worker on which it failed for this long. */
const RETRY_AVOIDANCE: Milliseconds = 1500;
/**
 * A task with one attempt left waits this long for a worker whose runs do not
 * fail; about as long as workers fail.
 */
const LAST_ATTEMPT_WAIT: Milliseconds = 6 * SECOND;
/**
 * A task that a guarantee covers starts on any worker after this wait, if it has
 * no other place. It must begin within the reclaim limit, which is 2.7 s at
 * least.
 */
const GUARANTEED_WAIT: Milliseconds = 1500;

/** What a unit demands of its workers beyond room. */
export interface Admission {
  /** Whether the unit starts on no worker now. */
  waits: boolean;
  /** Whether the unit starts only on workers without an open failure. */
  soundOnly: boolean;
  /** Keys of workers on which tasks of the unit failed a moment ago. */
  excluded: Set<string>;
}

/** Returns what the unit demands of its workers; `waits` is its step's pace. */
export function admissionOf(
  unit: Unit,
  waits: boolean,
  now: Milliseconds,
): Admission {
  return {
    waits,
    soundOnly: isLastAttempt(unit) && now - unit.readyAt < LAST_ATTEMPT_WAIT,
    excluded: excludedBy(unit, now),
  };
}

/** Whether the health of the worker permits tasks with this admission. */
export function isAdmitted(worker: Worker, soundOnly: boolean): boolean {
  const { level } = worker.health;
  return level !== HealthLevel.Probation &&
    (!soundOnly || level === HealthLevel.Sound);
}

/** Whether the unit may start on workers that are not sound, as a last resort. */
export function mayUseAnyWorker(unit: Unit, now: Milliseconds): boolean {
  return unit.guaranteed && now - unit.readyAt >= GUARANTEED_WAIT;
}

/**
 * Whether the unit may probe workers: it is a single task of the lowest
 * priority, and it can be started again if it fails.
 */
export function mayProbe(unit: Unit, lowestPriority: number): boolean {
  const { step, job, tasks } = unit;
  const { priority } = job.policy;
  return priority > 0 && priority === lowestPriority && tasks.length === 1 &&
    !step.gang && !step.longRunning && !isLastAttempt(unit);
}

/** Whether the unit's job fails if the unit fails once more. */
function isLastAttempt({ job, occurrence, stepIndex, tasks, step }: Unit) {
  if (step.longRunning) return false;
  const { failures } = occurrence.steps[stepIndex]![tasks[0]!]!;
  return failures + 1 >= job.policy.maxAttempts;
}

function excludedBy(unit: Unit, now: Milliseconds): Set<string> {
  const excluded = new Set<string>();
  const { job, occurrence, stepIndex } = unit;
  if (job.outcomes.size === 0) return excluded;
  const key = stepKey({ occurrence: occurrence.index, step: stepIndex });
  const failedAt = job.outcomes.get(key)?.failedAt;
  if (!failedAt) return excluded;
  for (const index of unit.tasks) {
    const task = occurrence.steps[stepIndex]![index]!;
    const at = failedAt.get(index) ?? -Infinity;
    if (now - at < RETRY_AVOIDANCE) excluded.add(task.worker);
  }
  return excluded;
}
