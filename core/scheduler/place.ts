/**
 * Chooses workers for the tasks of one step.
 *
 * @module
 */

import type { Milliseconds } from "@dragonflyledge/model";
import type { Step } from "./job.ts";
import { allocateTask, fits, stopCost } from "./fit.ts";
import type { CandidateWorker } from "./fit.ts";
import { addCapacity, gangOf, taskCapacity } from "./runs.ts";
import type { Run, Worker } from "./state.ts";

/** Cost, in core-seconds, of each accelerator that stays free on a worker. */
const FRAGMENTATION_COST = 0.01;

/**
 * Cost, in core-seconds, of mixing tasks with and without checkpoints on one
 * worker. If all tasks of a worker save checkpoints, they can be stopped for
 * urgent tasks at almost no loss.
 */
const MIXING_COST = 0.04;

/** Workers for a number of tasks, and the runs that must end first. */
export interface Placement {
  /** The worker of each task. */
  workers: Worker[];
  victims: Set<Run>;
  /** Cost in core-seconds; the lowest is preferred. */
  cost: number;
}

/** Tells whether a run may be stopped to make room for the step. */
export type PreemptionRule = (run: Run) => boolean;

interface PlacementFields {
  candidates: CandidateWorker[];
  step: Step;
  count: number;
  now: Milliseconds;
  mayPreempt: PreemptionRule;
  /**
   * Whether workers of equal cost are taken from the end of the list. Urgent
   * and other tasks fill the workers from opposite ends, so that they share
   * workers as late as possible.
   */
  reverseOrder: boolean;
}

/**
 * Places all `count` tasks on the candidates at the lowest cost, within a
 * single rack if `oneRack` is set. Returns undefined if they do not all fit.
 */
export function placeTasks(
  fields: PlacementFields & { oneRack: boolean },
): Placement | undefined {
  if (!fields.oneRack) return placeOnCandidates(fields, fields.candidates);
  const racks = [
    ...new Set(
      fields.candidates.map((candidate) => candidate.worker.state.rack),
    ),
  ];
  let best: Placement | undefined;
  for (const rack of fields.reverseOrder ? racks.toReversed() : racks) {
    const inRack = fields.candidates
      .filter((candidate) => candidate.worker.state.rack === rack);
    const placement = placeOnCandidates(fields, inRack);
    if (placement && (!best || placement.cost < best.cost)) best = placement;
  }
  return best;
}

/** Places the tasks one after the other, each at the lowest cost. */
function placeOnCandidates(
  fields: PlacementFields,
  from: CandidateWorker[],
): Placement | undefined {
  const candidates = from.map((candidate) => ({
    ...candidate,
    free: { ...candidate.free },
  }));
  const victims = new Set<Run>();
  const workers: Worker[] = [];
  let cost = 0;
  for (let index = 0; index < fields.count; index++) {
    const choice = chooseWorker(fields, candidates, victims);
    if (!choice) return undefined;
    for (const victim of choice.victims) addVictim(candidates, victims, victim);
    allocateTask(choice.candidate, fields.step);
    workers.push(choice.candidate.worker);
    cost += choice.cost;
  }
  return { workers, victims, cost };
}

/** A worker for one task, and the runs that must end on it first. */
interface WorkerChoice {
  candidate: CandidateWorker;
  victims: Run[];
  cost: number;
}

/** Chooses the cheapest worker, or undefined if none can hold the task. */
function chooseWorker(
  fields: PlacementFields,
  candidates: CandidateWorker[],
  victims: Set<Run>,
): WorkerChoice | undefined {
  let best: WorkerChoice | undefined;
  for (
    const candidate of fields.reverseOrder
      ? candidates.toReversed()
      : candidates
  ) {
    const choice = evaluateWorker(fields, candidate, victims);
    if (choice && (!best || choice.cost < best.cost)) best = choice;
  }
  return best;
}

/**
 * Chooses the cheapest runs that must end for a task to fit on the worker.
 * Returns undefined if the task doesn't fit even then.
 */
function evaluateWorker(
  fields: PlacementFields,
  candidate: CandidateWorker,
  chosen: Set<Run>,
): WorkerChoice | undefined {
  const { step, now } = fields;
  const unused = candidate.free.accelerators - step.accelerators;
  const baseCost = FRAGMENTATION_COST * Math.max(0, unused) +
    (wouldMix(candidate, step) ? MIXING_COST : 0);
  if (fits(candidate, step)) return { candidate, victims: [], cost: baseCost };
  if (step.maxPerWorker > 0 && candidate.stepTasks >= step.maxPerWorker) {
    return undefined;
  }
  const stoppable = [...candidate.worker.runs]
    .filter((run) =>
      !chosen.has(run) && (run.stopping || fields.mayPreempt(run))
    )
    .map((run) => ({ run, cost: stopCost(run, now) }))
    .sort((a, b) => a.cost - b.cost);
  const trial: CandidateWorker = { ...candidate, free: { ...candidate.free } };
  const victims: Run[] = [];
  let cost = baseCost;
  for (const each of stoppable) {
    if (fits(trial, step)) break;
    victims.push(each.run);
    cost += each.cost;
    addCapacity(trial.free, taskCapacity(each.run.step), 1);
  }
  return fits(trial, step) ? { candidate, victims, cost } : undefined;
}

/** Whether tasks with and without checkpoints would share the worker. */
function wouldMix(candidate: CandidateWorker, step: Step): boolean {
  for (const run of candidate.worker.runs) {
    if (run.step.checkpointing !== step.checkpointing) return true;
  }
  return false;
}

/** Adds a victim and its gang, and counts the capacity that they will free. */
function addVictim(
  candidates: CandidateWorker[],
  victims: Set<Run>,
  victim: Run,
): void {
  const ending = victim.stopping ? [victim] : gangOf(victim);
  for (const run of ending) {
    if (victims.has(run)) continue;
    victims.add(run);
    const candidate = candidates.find((each) =>
      each.worker.state.key === run.worker
    );
    if (candidate) addCapacity(candidate.free, taskCapacity(run.step), 1);
  }
}
