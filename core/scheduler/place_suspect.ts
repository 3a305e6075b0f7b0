/**
 * Finds workers for tasks that are suspected of crashing workers.
 *
 * @module
 */

import { SECOND } from "@dragonflyledge/model";
import type { Milliseconds } from "@dragonflyledge/model";
import type { CandidateWorker } from "./fit.ts";
import { isUrgent } from "./units.ts";
import type { Unit } from "./units.ts";

/** Wait for workers without other tasks before a suspect joins others. */
const ISOLATION_WAIT: Milliseconds = 2 * SECOND;
/** Same wait for urgent tasks, which must start within a bounded time. */
const URGENT_ISOLATION_WAIT: Milliseconds = 300;

/** Whether the unit still waits for workers without other tasks. */
export function waitsForIsolation(unit: Unit, now: Milliseconds): boolean {
  const limit = isUrgent(unit) ? URGENT_ISOLATION_WAIT : ISOLATION_WAIT;
  return now - unit.readyAt < limit;
}

/** Candidates on which no other task is, or is stopping. */
export function listIdle(candidates: CandidateWorker[]): CandidateWorker[] {
  return candidates.filter(({ worker }) => worker.runs.size === 0);
}

/**
 * Candidates on other machines than those of the tasks' latest runs, if there
 * are any, so that a machine that crashes by itself does not count again.
 */
export function listElsewhere(
  unit: Unit,
  candidates: CandidateWorker[],
): CandidateWorker[] {
  const tasks = unit.occurrence.steps[unit.stepIndex]!;
  const former = new Set(unit.tasks.map((index) => tasks[index]!.agent));
  const elsewhere = candidates.filter(({ worker }) =>
    !former.has(worker.agent)
  );
  return elsewhere.length > 0 ? elsewhere : candidates;
}
