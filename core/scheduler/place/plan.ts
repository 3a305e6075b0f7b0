/**
 * Decides which tasks start next, and which runs are stopped for them.
 *
 * @module
 */

import type { Milliseconds } from "@dragonflyledge/model";
import { evacuateRuns } from "../order/evacuate.ts";
import { assessWorkers } from "../health/assessment.ts";
import { createGuaranteeCover } from "../wait/guarantees.ts";
import type { GuaranteeCover } from "../wait/guarantees.ts";
import { formatTask, isFinal, JobStatus, TaskPhase } from "../job.ts";
import { giveUp } from "../end/crash_counts.ts";
import { listInterfering } from "../interference/cost.ts";
import { findPlacement } from "./find.ts";
import { reviewIsolation } from "./isolation.ts";
import { isolationOfUnit, isSuspected } from "./place_suspect.ts";
import type { Placement } from "./place.ts";
import { markChanged } from "../record/progress.ts";
import { createRound } from "./round.ts";
import type { PlanningRound } from "./round.ts";
import { addRun, stopRun } from "../runs.ts";
import { Lateness } from "../effects.ts";
import { stepKey } from "../state.ts";
import type { SchedulerState } from "../state.ts";
import { countsStarts, Isolation, isOutOfStarts } from "./suspects.ts";
import { isUrgent, listUnits } from "../wait/units.ts";
import type { Unit } from "../wait/units.ts";
import { noteUrgentWait } from "../wait/waits.ts";

/** Risk of lateness from which a start counts as likely to be late. */
const LIKELY_RISK = 0.5;

/** Starts the tasks that fit, the most urgent first, preempting if need be. */
export function plan(state: SchedulerState, now: Milliseconds): void {
  evacuateRuns(state, now);
  assessWorkers(state, now);
  reviewIsolation(state, now);
  const round = createRound(state, now);
  const cover = createGuaranteeCover(state);
  const isLate = (unit: Unit) =>
    round.forecaster?.prospectOf(unit)?.isLate ?? false;
  for (const unit of listUnits(state, cover, now, isLate)) {
    if (unit.step.gang) planUnit(round, unit, cover);
    else planTasks(round, unit, cover);
  }
}

/** Plans the tasks of a unit one by one. */
function planTasks(
  round: PlanningRound,
  unit: Unit,
  cover: GuaranteeCover,
): void {
  for (const index of unit.tasks) {
    const single = { ...unit, tasks: [index] };
    if (planUnit(round, single, cover)) continue;
    // All tasks of a step need the same, so if one does not fit, none does. A
    // suspect needs a worker of its own, too, and a task that has failed may
    // need one of those that are sound.
    if (!isSuspected(single) && !round.isRestricted(single)) return;
  }
}

/** Starts the unit or makes room for it. Returns false if there is no place. */
function planUnit(
  round: PlanningRound,
  unit: Unit,
  cover: GuaranteeCover,
): boolean {
  const { state, now } = round;
  // An earlier unit of the job may have failed it in this round.
  if (isFinal(unit.job.progress.status)) return false;
  if (giveUpIfOutOfStarts(state, unit, now)) return false;
  const placement = findPlacement({ round, unit, cover });
  if (placement?.victims.size === 0) {
    startUnit(round, unit, placement);
    return true;
  }
  if (placement) preemptForUnit(round, unit, placement);
  if (isUrgent(unit)) {
    const victims = placement?.victims.size ?? 0;
    noteUrgentWait({ state, unit, cover, victims, now });
  }
  return placement !== undefined;
}

/**
 * Fails the job of a task that may not be started any more, since workers have
 * crashed under it and its runs since have ended in other ways.
 */
function giveUpIfOutOfStarts(
  state: SchedulerState,
  { job, occurrence, stepIndex, tasks }: Unit,
  now: Milliseconds,
): boolean {
  const progress = occurrence.steps[stepIndex]!;
  const index = tasks.find((each) => isOutOfStarts(progress[each]!.crashes));
  if (index === undefined) return false;
  const task = formatTask({
    job: job.request.id,
    occurrence: occurrence.index,
    step: stepIndex,
    index,
  });
  const date = now + (state.dateOffset ?? 0);
  giveUp({ state, job, date }, task, progress[index]!.crashes);
  return true;
}

/** Assigns the unit's tasks to the workers of the placement under a new run. */
function startUnit(
  round: PlanningRound,
  unit: Unit,
  placement: Placement,
): void {
  const { state, now } = round;
  const { job, occurrence, stepIndex } = unit;
  const tasks = occurrence.steps[stepIndex]!;
  const highest = Math.max(...unit.tasks.map((index) => tasks[index]!.run));
  const checkpoint = unit.step.gang ? latestCheckpoint(unit) : "";
  const isolation = isolationOfUnit(unit);
  const beside = listInterfering(state, unit, placement.workers);
  job.progress.status = JobStatus.Running;
  markChanged(state, job);
  unit.tasks.forEach((index, position) => {
    const task = tasks[index]!;
    const worker = placement.workers[position]!;
    task.phase = TaskPhase.Assigned;
    if (countsStarts(task.crashes)) task.crashes.lateStarts++;
    task.run = highest + 1;
    task.agent = worker.agent;
    task.worker = worker.state.key;
    if (unit.step.gang) task.checkpoint = checkpoint;
    round.take(worker, unit.step);
    addRun({
      state,
      job,
      task: {
        job: job.request.id,
        occurrence: occurrence.index,
        step: stepIndex,
        index,
      },
      run: task.run,
      agent: worker.agent,
      worker: worker.state.key,
      ordered: false,
      confirmed: false,
      now,
    });
  });
  if (isolation !== Isolation.None) {
    for (const worker of placement.workers) round.close(worker);
  }
  const lateness = latenessOf(unit, placement);
  state.effects.push({
    kind: "placed",
    priority: job.policy.priority,
    guaranteed: unit.guaranteed,
    wait: now - unit.readyAt,
    lateness,
  });
  const key = stepKey({ occurrence: occurrence.index, step: stepIndex });
  job.readyAt.delete(key);
  job.waitNotedAt.delete(key);
  state.effects.push({
    kind: "log",
    level: "info",
    text: "Tasks placed.",
    fields: {
      job: job.request.id,
      step: stepIndex,
      run: highest + 1,
      tasks: unit.tasks.join(),
      agents: placement.workers.map((worker) => worker.agent).join(),
      guaranteed: unit.guaranteed,
      waited: Math.round(now - unit.readyAt),
      version: job.version,
      ...(lateness === Lateness.None ? {} : {
        lateness,
        risk: Math.round(100 * placement.risk),
      }),
      ...(isolation === Isolation.None ? {} : { isolation }),
      ...(beside.length === 0 ? {} : { interfering: beside.join() }),
    },
  });
}

function latenessOf(unit: Unit, placement: Placement): Lateness {
  if (unit.late) return Lateness.Certain;
  return placement.risk >= LIKELY_RISK ? Lateness.Likely : Lateness.None;
}

/**
 * Checkpoint from which the whole gang resumes. All members must resume from
 * the same one; that of any member is valid for all.
 */
function latestCheckpoint(unit: Unit): string {
  const tasks = unit.occurrence.steps[unit.stepIndex]!;
  return tasks.find((task) => task.checkpoint !== "")?.checkpoint ?? "";
}

/**
 * Stops the placement's victims and reserves capacity for the unit, which
 * starts in a later round once they have ended.
 */
function preemptForUnit(
  round: PlanningRound,
  unit: Unit,
  placement: Placement,
): void {
  const { state } = round;
  const fresh = [...placement.victims].filter((run) => !run.stopping);
  for (const run of fresh) stopRun(state, run);
  for (const worker of placement.workers) round.take(worker, unit.step);
  if (fresh.length === 0) return;
  state.effects.push({
    kind: "log",
    level: "info",
    text: "Runs preempted.",
    fields: {
      job: unit.job.request.id,
      guaranteed: unit.guaranteed,
      victims: fresh.map((run) => run.name).join(),
    },
  });
}
