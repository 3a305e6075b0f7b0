/**
 * Which workers can hold a task, and which of them fits best.
 *
 * @module
 */

import type { Milliseconds } from "@dragonflyledge/model";
import type { Step } from "./job.ts";
import { addCapacity, gangOf, taskCapacity } from "./runs.ts";
import type { Capacity, Job, Run, Worker } from "./state.ts";

/** Weight of one accelerator in cores, as work is priced. */
const CORES_PER_ACCELERATOR = 8;
/** Work that a checkpointing task loses at a stop and a restore. */
const CHECKPOINT_LOSS: Milliseconds = 300;
/** Core-seconds for which free capacity is preferred to a run that is ending. */
const STOPPING_COST = 0.5;

/** Capacity of the workers as one round of planning sees it. */
export interface CandidateWorker {
  worker: Worker;
  free: Capacity;
  /** Tasks of the step that is being placed, for its limit per worker. */
  stepTasks: number;
}

/** Returns the room of each worker that may take tasks of the step. */
export function listCandidates(fields: {
  workers: Iterable<Worker>;
  job: Job;
  step: Step;
  occurrence: number;
  stepIndex: number;
  now: Milliseconds;
  /** Capacity that is kept for more urgent work. */
  reserved: Map<Worker, Capacity>;
  /** Whether workers on which work failed lately are left out. */
  avoid: boolean;
}): CandidateWorker[] {
  const { job, step, now, reserved } = fields;
  const rooms: CandidateWorker[] = [];
  for (const worker of fields.workers) {
    const { state } = worker;
    if (state.service !== job.policy.service) continue;
    if (state.draining || !state.reachable) continue;
    if (step.label !== "" && !state.labels.includes(step.label)) continue;
    if (fields.avoid && worker.avoidUntil > now) continue;
    const free: Capacity = {
      millicores: state.millicores,
      megabytes: state.megabytes,
      accelerators: state.accelerators,
    };
    addCapacity(free, worker.used, -1);
    const kept = reserved.get(worker);
    if (kept) addCapacity(free, kept, -1);
    rooms.push({ worker, free, stepTasks: countStepTasks(fields, worker) });
  }
  return rooms.sort(compareByRack);
}

/** Neighbours in a rack stay neighbours in the list. */
function compareByRack(a: CandidateWorker, b: CandidateWorker): number {
  const left = `${a.worker.state.rack} ${a.worker.state.key}`;
  const right = `${b.worker.state.rack} ${b.worker.state.key}`;
  return left < right ? -1 : 1;
}

function countStepTasks(
  fields: { job: Job; occurrence: number; stepIndex: number },
  worker: Worker,
): number {
  let count = 0;
  for (const run of worker.runs) {
    if (
      run.job === fields.job && run.task.occurrence === fields.occurrence &&
      run.task.step === fields.stepIndex
    ) count++;
  }
  return count;
}

/** Whether one more task of the step fits. */
export function fits(room: CandidateWorker, step: Step): boolean {
  const need = taskCapacity(step);
  return room.free.millicores >= need.millicores &&
    room.free.megabytes >= need.megabytes &&
    room.free.accelerators >= need.accelerators &&
    (step.maxPerWorker === 0 || room.stepTasks < step.maxPerWorker);
}

/** Counts a task of the step in the room. */
export function allocateTask(room: CandidateWorker, step: Step): void {
  addCapacity(room.free, taskCapacity(step), -1);
  room.stepTasks++;
}

/** Work that is lost if the run, with its gang, is stopped, in core-seconds. */
export function stopCost(run: Run, now: Milliseconds): number {
  if (run.stopping) return STOPPING_COST;
  return gangOf(run).reduce((sum, each) => sum + lostWork(each, now), 0);
}

function lostWork(run: Run, now: Milliseconds): number {
  const elapsed = Math.max(0, now - run.startedAt);
  const lost = run.step.checkpointing
    ? Math.min(elapsed, CHECKPOINT_LOSS)
    : elapsed;
  return lost / 1000 * taskWeight(run.step);
}

/** Cores that a task occupies, accelerators included. */
export function taskWeight(step: Step): number {
  return step.millicores / 1000 + CORES_PER_ACCELERATOR * step.accelerators;
}
