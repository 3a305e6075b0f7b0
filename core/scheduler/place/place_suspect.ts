/**
 * Finds workers for tasks that are suspected of crashing workers.
 *
 * Load pattern: all workers are busy, and the suspect would take others along.
 * It waits a little for a worker without other tasks; one that will be empty in
 * time is kept free for it. After that it joins those tasks of which a crash
 * would cost least.
 *
 * @module
 */

import { SECOND } from "@dragonflyledge/model";
import type { Milliseconds } from "@dragonflyledge/model";
import { remainingTime } from "../order/evacuate.ts";
import type { CandidateWorker } from "./fit.ts";
import { placeTasks } from "./place.ts";
import type { Placement } from "./place.ts";
import type { PlanningRound } from "./round.ts";
import type { Worker } from "../state.ts";
import { Isolation, isolationOf } from "./suspects.ts";
import { isUrgent } from "../wait/units.ts";
import type { Unit } from "../wait/units.ts";

/** Wait for workers without other tasks before a suspect joins others. */
const ISOLATION_WAIT: Milliseconds = 2 * SECOND;
/** Same wait for urgent tasks, which must start within a bounded time. */
const URGENT_ISOLATION_WAIT: Milliseconds = 300;

/**
 * Places the unit on workers without other tasks, or after a wait beside those
 * of which a crash costs least. Returns undefined while it waits or if it does
 * not fit on free capacity.
 */
export function placeSuspect(
  round: PlanningRound,
  unit: Unit,
): Placement | undefined {
  const candidates = listElsewhere(unit, round.candidates(unit, false));
  const { step } = unit;
  const place = (from: CandidateWorker[], oneRack: boolean) =>
    placeTasks({
      step,
      count: unit.tasks.length,
      candidates: from,
      mayPreempt: undefined,
      stopCost: round.stopCost,
      joinCost: round.joinCost,
      oneRack,
      reverseOrder: isUrgent(unit),
    });
  const oneRack = step.gang && step.sameRack && unit.tasks.length > 1;
  const idle = candidates.filter(({ worker }) => worker.runs.size === 0);
  const isolated = place(idle, oneRack);
  if (isolated) return isolated;
  const left = isolationWait(unit, round.now);
  if (left > 0) {
    keepFree(round, candidates, left);
    return undefined;
  }
  return (oneRack ? place(idle, false) : undefined) ??
    place(candidates, oneRack);
}

/** Whether any task of the unit is suspected of crashing workers. */
export function isSuspected(unit: Unit): boolean {
  return isolationOfUnit(unit) !== Isolation.None;
}

/** Isolation of a run of the unit's tasks. */
export function isolationOfUnit(unit: Unit): Isolation {
  const tasks = unit.occurrence.steps[unit.stepIndex]!;
  return isolationOf(unit.tasks.map((index) => tasks[index]!));
}

/** Time for which the unit still waits for workers without other tasks. */
export function isolationWait(unit: Unit, now: Milliseconds): Milliseconds {
  const limit = isUrgent(unit) ? URGENT_ISOLATION_WAIT : ISOLATION_WAIT;
  return unit.readyAt + limit - now;
}

/**
 * Candidates on other machines than those of the tasks' latest runs, if there
 * are any, so that a machine that crashes by itself does not count again.
 */
function listElsewhere(
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

/** Keeps others off the worker that will be empty first, if it is in time. */
function keepFree(
  round: PlanningRound,
  candidates: CandidateWorker[],
  left: Milliseconds,
): void {
  let soonest: { worker: Worker; at: Milliseconds } | undefined;
  for (const { worker, free } of candidates) {
    // Another suspect has it.
    if (free.accelerators === -Infinity) continue;
    const at = emptyAfter(worker, round.now);
    if (at <= left && (!soonest || at < soonest.at)) soonest = { worker, at };
  }
  if (soonest) round.close(soonest.worker);
}

/** Time until all runs of the worker have ended. */
function emptyAfter(worker: Worker, now: Milliseconds): Milliseconds {
  let longest = 0;
  for (const run of worker.runs) {
    if (run.step.longRunning) return Infinity;
    longest = Math.max(longest, remainingTime(run, now));
  }
  return longest;
}
