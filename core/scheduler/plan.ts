/**
 * Decides what starts next, and what is stopped for it.
 *
 * @module
 */

import { SECOND } from "@dragonflyledge/model";
import type { Milliseconds } from "@dragonflyledge/model";
import { JobStatus, TaskPhase } from "./job.ts";
import type { Occurrence, Step } from "./job.ts";
import { listCandidates, taskWeight } from "./fit.ts";
import { placeTasks } from "./place.ts";
import type { Placement } from "./place.ts";
import { markChanged, readySteps } from "./progress.ts";
import { addCapacity, addRun, stopRun, taskCapacity } from "./runs.ts";
import { stepKey } from "./state.ts";
import type { Capacity, Job, Run, SchedulerState, Worker } from "./state.ts";

/** Wait for capacity near the data or in one rack before any is taken. */
const LOCALITY_WAIT: Milliseconds = 1500;
/** The same for urgent work, whose time to start is bounded. */
const URGENT_LOCALITY_WAIT: Milliseconds = 300;
/** Workers with recent failures are used again for work that waited so long. */
const AVOIDANCE_WAIT: Milliseconds = 1500;

/** Advance of each priority below the urgent one over the next. */
const PRIORITY_ADVANCE: Milliseconds = 5 * SECOND;

/** Work that may be lost for each unit of work of a job beyond its guarantee. */
const PREEMPTION_RATIO = 0.5;

/** Tasks that are placed together: a whole gang or one task. */
interface Unit {
  job: Job;
  occurrence: Occurrence;
  stepIndex: number;
  step: Step;
  tasks: number[];
  readyAt: Milliseconds;
  /** The team's urgent jobs fit into its guarantee. */
  guaranteed: boolean;
}

/** Starts what fits, in order of urgency, and stops runs for urgent work. */
export function plan(state: SchedulerState, now: Milliseconds): void {
  const reserved = new Map<Worker, Capacity>();
  // Tasks of one step ask for the same, so that one refusal stands for all.
  const full = new Set<unknown>();
  for (const unit of listUnits(state, now)) {
    const tasks = unit.occurrence.steps[unit.stepIndex]!;
    if (full.has(tasks)) continue;
    const placement = findPlacement(state, unit, now, reserved);
    if (!placement) {
      full.add(tasks);
      continue;
    }
    if (placement.victims.size === 0) startUnit(state, unit, placement, now);
    else preemptForUnit(state, unit, placement, reserved);
  }
}

function listUnits(state: SchedulerState, now: Milliseconds): Unit[] {
  const units: Unit[] = [];
  const covered = new Map<string, boolean>();
  for (const job of state.activeJobs) {
    if (job.cancelled) continue;
    for (const occurrence of job.progress.occurrences) {
      for (const stepIndex of readySteps(job, occurrence)) {
        addUnits({ state, units, covered, job, occurrence, stepIndex, now });
      }
    }
  }
  return units.sort(compareUnits);
}

function addUnits(fields: {
  state: SchedulerState;
  units: Unit[];
  covered: Map<string, boolean>;
  job: Job;
  occurrence: Occurrence;
  stepIndex: number;
  now: Milliseconds;
}): void {
  const { state, units, covered, job, occurrence, stepIndex, now } = fields;
  const step = job.request.steps[stepIndex]!;
  const tasks = occurrence.steps[stepIndex]!;
  const key = stepKey({ occurrence: occurrence.index, step: stepIndex });
  const readyAt = job.readyAt.get(key) ?? now;
  job.readyAt.set(key, readyAt);
  const base = {
    job,
    occurrence,
    stepIndex,
    step,
    readyAt,
    guaranteed: isGuaranteed(state, covered, job),
  };
  const waiting = tasks.flatMap((task, index) =>
    task.phase === TaskPhase.Waiting ? [index] : []
  );
  if (!step.gang) {
    const busy = busyTasks(job, occurrence.index, stepIndex);
    for (const index of waiting) {
      if (!busy.has(index)) units.push({ ...base, tasks: [index] });
    }
    return;
  }
  // A gang starts again only when no member of its former run is left.
  const busy = busyTasks(job, occurrence.index, stepIndex);
  if (waiting.length === tasks.length && busy.size === 0) {
    units.push({ ...base, tasks: waiting });
  }
}

/** Tasks of a step that have a run which is not over. */
function busyTasks(job: Job, occurrence: number, step: number): Set<number> {
  const busy = new Set<number>();
  for (const run of job.runs) {
    if (run.task.occurrence === occurrence && run.task.step === step) {
      busy.add(run.task.index);
    }
  }
  return busy;
}

function compareUnits(a: Unit, b: Unit): number {
  return Number(isUrgent(b)) - Number(isUrgent(a)) ||
    Number(b.guaranteed) - Number(a.guaranteed) ||
    effectiveAcceptedAt(a) - effectiveAcceptedAt(b) ||
    (a.job.request.id < b.job.request.id ? -1 : 1) ||
    a.stepIndex - b.stepIndex || a.tasks[0]! - b.tasks[0]!;
}

function isUrgent(unit: Unit): boolean {
  return unit.job.policy.priority === 0;
}

/** Work of a lower priority is overtaken only by what comes soon after it. */
function effectiveAcceptedAt(unit: Unit): Milliseconds {
  const { request, policy } = unit.job;
  return request.acceptedAt + policy.priority * PRIORITY_ADVANCE;
}

/** Whether all urgent jobs of the job's team fit into its guarantee. */
function isGuaranteed(
  state: SchedulerState,
  covered: Map<string, boolean>,
  job: Job,
): boolean {
  if (job.policy.priority !== 0) return false;
  const { team } = job.request;
  const known = covered.get(team);
  if (known !== undefined) return known;
  let need = 0;
  for (const other of state.activeJobs) {
    if (other.policy.priority !== 0 || other.request.team !== team) continue;
    need += Math.max(
      ...other.request.steps.map((step) => step.count * step.accelerators),
    );
  }
  const fits = need <= (state.policies.guarantees.get(team) ?? 0);
  covered.set(team, fits);
  return fits;
}

function findPlacement(
  state: SchedulerState,
  unit: Unit,
  now: Milliseconds,
  reserved: Map<Worker, Capacity>,
): Placement | undefined {
  const { job, step } = unit;
  const urgent = isUrgent(unit);
  const waited = now - unit.readyAt;
  const near = waited < (urgent ? URGENT_LOCALITY_WAIT : LOCALITY_WAIT);
  const rooms = listCandidates({
    workers: state.workers.values(),
    job,
    step,
    occurrence: unit.occurrence.index,
    stepIndex: unit.stepIndex,
    now,
    reserved,
    avoid: waited < AVOIDANCE_WAIT,
  });
  const nearData = step.dataRack === ""
    ? []
    : rooms.filter((room) => room.worker.state.rack === step.dataRack);
  const never = () => false;
  // How many tasks of a long-running step may be away is not known here.
  const lower = (run: Run) =>
    run.job.policy.priority > 0 && !run.step.longRunning;
  const oneRack = step.gang && step.sameRack && unit.tasks.length > 1;
  const place = (mayStop: typeof lower, rack: boolean, from = rooms) =>
    placeTasks({
      step,
      count: unit.tasks.length,
      now,
      candidates: from,
      mayPreempt: mayStop,
      oneRack: rack,
      reverseOrder: urgent,
    });
  const preempting = (rack: boolean) => {
    const placement = place(lower, rack);
    return placement && isPreemptionWorthwhile(unit, placement)
      ? placement
      : undefined;
  };
  const local = nearData.length > 0
    ? place(never, oneRack, nearData)
    : undefined;
  if (local) return local;
  const free = nearData.length === 0 || !near
    ? place(never, oneRack)
    : undefined;
  if (free) return free;
  const within = urgent ? preempting(oneRack) : undefined;
  if (within) return within;
  if (!oneRack || near) return undefined;
  return place(never, false) ?? (urgent ? preempting(false) : undefined);
}

/** Beyond its guarantee, a team's job stops only what loses less than it does. */
function isPreemptionWorthwhile(unit: Unit, placement: Placement): boolean {
  if (unit.guaranteed) return true;
  const { step } = unit;
  const work = unit.tasks.length * taskWeight(step) * step.estimate / SECOND;
  return placement.cost <= PREEMPTION_RATIO * work;
}

function startUnit(
  state: SchedulerState,
  unit: Unit,
  placement: Placement,
  now: Milliseconds,
): void {
  const { job, occurrence, stepIndex } = unit;
  const tasks = occurrence.steps[stepIndex]!;
  const highest = Math.max(...unit.tasks.map((index) => tasks[index]!.run));
  const checkpoint = unit.step.gang ? latestCheckpoint(unit) : "";
  job.progress.status = JobStatus.Running;
  markChanged(state, job);
  unit.tasks.forEach((index, position) => {
    const task = tasks[index]!;
    const worker = placement.workers[position]!;
    task.phase = TaskPhase.Assigned;
    task.run = highest + 1;
    task.agent = worker.agent;
    task.worker = worker.state.key;
    if (unit.step.gang) task.checkpoint = checkpoint;
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
      confirmed: false,
      now,
    });
  });
  state.effects.push({
    kind: "placed",
    priority: job.policy.priority,
    wait: now - unit.readyAt,
  });
  job.readyAt.delete(
    stepKey({ occurrence: occurrence.index, step: stepIndex }),
  );
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
      waited: Math.round(now - unit.readyAt),
      version: job.version,
    },
  });
}

/** All members of a gang must carry one value; any member's is valid. */
function latestCheckpoint(unit: Unit): string {
  const tasks = unit.occurrence.steps[unit.stepIndex]!;
  return tasks.find((task) => task.checkpoint !== "")?.checkpoint ?? "";
}

function preemptForUnit(
  state: SchedulerState,
  unit: Unit,
  placement: Placement,
  reserved: Map<Worker, Capacity>,
): void {
  const fresh = [...placement.victims].filter((run) => !run.stopping);
  for (const run of fresh) stopRun(state, run);
  for (const worker of placement.workers) {
    const kept = reserved.get(worker) ??
      { millicores: 0, megabytes: 0, accelerators: 0 };
    addCapacity(kept, taskCapacity(unit.step), 1);
    reserved.set(worker, kept);
  }
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
