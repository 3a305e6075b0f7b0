/**
 * Lists the tasks that are ready to start, in the order of planning.
 *
 * @module
 */

import { SECOND } from "@dragonflyledge/model";
import type { Milliseconds } from "@dragonflyledge/model";
import type { GuaranteeCover } from "./guarantees.ts";
import { TaskPhase } from "../job.ts";
import type { Occurrence, Step } from "../job.ts";
import { readySteps } from "../record/progress.ts";
import { stepKey } from "../state.ts";
import type { Job, SchedulerState } from "../state.ts";

/** Head start of each priority below the urgent one over the next lower one. */
const PRIORITY_ADVANCE: Milliseconds = 5 * SECOND;

/** Head start of jobs that can be on time over those that are late anyway. */
const LATE_DELAY: Milliseconds = 5 * SECOND;

/**
 * A team that asks for more than its guarantee takes the guaranteed part back
 * at any cost only after this time. Runs that are stopped then still end within
 * the reclaim limit, which is 2.7 s at least.
 */
export const RECLAIM_DELAY: Milliseconds = 1800;

/** Tasks of one step that are ready to start. */
export interface Unit {
  job: Job;
  occurrence: Occurrence;
  stepIndex: number;
  step: Step;
  /**
   * Indexes of the tasks within the step. Those of a gang are placed together,
   * others one by one.
   */
  tasks: number[];
  readyAt: Milliseconds;
  /** Whether the guarantee of the job's team covers the job. */
  guaranteed: boolean;
  /** Whether the job takes guaranteed capacity back at any cost. */
  mayReclaim: boolean;
  /** Whether its job misses its objective wherever it starts now. */
  late: boolean;
}

/** Lists the units that are ready to start, in the order of planning. */
export function listUnits(
  state: SchedulerState,
  cover: GuaranteeCover,
  now: Milliseconds,
  isLate: (unit: Unit) => boolean = () => false,
): Unit[] {
  const units: Unit[] = [];
  for (const job of state.active) {
    if (job.cancelled) continue;
    for (const occurrence of job.progress.occurrences) {
      for (const stepIndex of readySteps(job, occurrence)) {
        addUnits({ units, cover, job, occurrence, stepIndex, now });
      }
    }
  }
  for (const unit of units) unit.late = isLate(unit);
  return units.sort(compareUnits);
}

/** Adds the units of one ready step. */
function addUnits(fields: {
  units: Unit[];
  cover: GuaranteeCover;
  job: Job;
  occurrence: Occurrence;
  stepIndex: number;
  now: Milliseconds;
}): void {
  const { units, cover, job, occurrence, stepIndex, now } = fields;
  const step = job.request.steps[stepIndex]!;
  const tasks = occurrence.steps[stepIndex]!;
  const key = stepKey({ occurrence: occurrence.index, step: stepIndex });
  const readyAt = job.readyAt.get(key) ?? now;
  job.readyAt.set(key, readyAt);
  const guaranteed = cover.covers(job);
  const base = {
    job,
    occurrence,
    stepIndex,
    step,
    readyAt,
    guaranteed,
    mayReclaim: guaranteed &&
      (cover.fits(job.request.team) || now - readyAt >= RECLAIM_DELAY),
    late: false,
  };
  const waiting = tasks.flatMap((task, index) =>
    task.phase === TaskPhase.Waiting ? [index] : []
  );
  if (!step.gang) {
    const busy = busyTasks(job, occurrence.index, stepIndex);
    const ready = waiting.filter((index) => !busy.has(index));
    if (ready.length > 0) units.push({ ...base, tasks: ready });
    return;
  }
  // A gang starts again only when no member of its previous run is left.
  const busy = busyTasks(job, occurrence.index, stepIndex);
  if (waiting.length === tasks.length && busy.size === 0) {
    units.push({ ...base, tasks: waiting });
  }
}

/** Indexes of a step's tasks that have a run which has not ended. */
function busyTasks(job: Job, occurrence: number, step: number): Set<number> {
  const busy = new Set<number>();
  for (const run of job.runs) {
    if (run.task.occurrence === occurrence && run.task.step === step) {
      busy.add(run.task.index);
    }
  }
  return busy;
}

/** Orders units by urgency, guarantee and effective time of acceptance. */
function compareUnits(a: Unit, b: Unit): number {
  return Number(isUrgent(b)) - Number(isUrgent(a)) ||
    Number(b.guaranteed) - Number(a.guaranteed) ||
    effectiveAcceptedAt(a) - effectiveAcceptedAt(b) ||
    (a.job.request.id < b.job.request.id ? -1 : 1) ||
    a.stepIndex - b.stepIndex || a.occurrence.index - b.occurrence.index;
}

/** Whether the unit may preempt work of lower priority. */
export function isUrgent(unit: Unit): boolean {
  return unit.job.policy.priority === 0;
}

/**
 * Time of acceptance, delayed for each level of lower priority and for a job
 * that is late in any case. Only jobs that are accepted soon after it overtake
 * such a job, so that it does not wait without end.
 */
function effectiveAcceptedAt(unit: Unit): Milliseconds {
  const { request, policy } = unit.job;
  return request.acceptedAt + policy.priority * PRIORITY_ADVANCE +
    (unit.late ? LATE_DELAY : 0);
}
