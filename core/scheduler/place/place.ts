/**
 * Chooses workers for the tasks of one step.
 *
 * @module
 */

import type { Step } from "../job.ts";
import { allocateTask, fits } from "./fit.ts";
import type { CandidateWorker } from "./fit.ts";
import type { Forecast } from "./forecast.ts";
import { addCapacity, gangOf, taskCapacity } from "../runs.ts";
import { MAX_INTERFERENCE_COST } from "../interference/cost.ts";
import type { InterferenceCost } from "../interference/cost.ts";
import type { Run, Worker } from "../state.ts";

/** Cost, in core-seconds, of each accelerator that stays free on a worker. */
const FRAGMENTATION_COST = 0.01;

/**
 * Cost, in core-seconds, of mixing tasks with and without checkpoints on one
 * worker. If all tasks of a worker save checkpoints, they can be stopped for
 * urgent tasks at almost no loss.
 */
const MIXING_COST = 0.04;

/**
 * Cost, in core-seconds, of a worker that is still cold after its start. It is
 * below all others, so that it decides only between workers of equal cost.
 */
const WARMUP_COST = 0.001;

/** Workers for a number of tasks, and the runs that must end first. */
export interface Placement {
  /** The worker of each task. */
  workers: Worker[];
  victims: Set<Run>;
  /** Cost in core-seconds, without `loss`; the lowest sum is preferred. */
  cost: number;
  /** Risk, from 0 to 1, that the slowest task ends late. */
  risk: number;
  /** Core-seconds that are lost by lateness, as far as they are expected. */
  loss: number;
  /** Cost of tasks that slow each other down; weighs no preemption. */
  interference: number;
}

/**
 * Tells whether a run may be stopped to make room for the step. Without a rule,
 * none may; runs that are stopping already count as room in any case.
 */
export type PreemptionRule = ((run: Run) => boolean) | undefined;

interface PlacementFields {
  candidates: CandidateWorker[];
  step: Step;
  count: number;
  mayPreempt: PreemptionRule;
  /** Cost, in core-seconds, of stopping a run. */
  stopCost: (run: Run) => number;
  /** Cost, in core-seconds, of joining the runs on a worker; 0 by default. */
  joinCost?: (worker: Worker) => number;
  /** Lateness on each worker; not weighed if it is undefined. */
  forecast?: Forecast | undefined;
  /**
   * Cost of running beside tasks that slow each other down; 0 by default. It
   * counts on free capacity only, so that it delays no start.
   */
  interferenceCost?: InterferenceCost;
  /**
   * Whether workers of equal cost are taken from the end of the list. Urgent
   * and other tasks fill the workers from opposite ends, so that they share
   * workers as late as possible.
   */
  reverseOrder: boolean;
}

interface SearchFields extends PlacementFields {
  /**
   * Choices on candidates as they are in the round. A gang with preemption would
   * otherwise look at the runs of each worker again for each of its tasks.
   */
  evaluated: Map<CandidateWorker, WorkerChoice | undefined>;
}

/**
 * Places all `count` tasks on the candidates at the lowest cost, within a
 * single rack if `oneRack` is set. Returns undefined if they do not all fit.
 */
export function placeTasks(
  request: PlacementFields & { oneRack: boolean },
): Placement | undefined {
  const fields: SearchFields = { ...request, evaluated: new Map() };
  if (!request.oneRack) return placeOnCandidates(fields, fields.candidates);
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
    if (placement && (!best || isCheaper(placement, best))) best = placement;
  }
  return best;
}

/** Whether the first placement costs less than the second one. */
export function isCheaper(a: Placement, b: Placement): boolean {
  const costOf = ({ cost, loss, interference }: Placement) =>
    cost + loss + interference;
  return costOf(a) < costOf(b);
}

/**
 * Places the tasks at the lowest cost. Where one of them is likely to be late,
 * the others gain nothing by workers on which they are not.
 */
function placeOnCandidates(
  fields: SearchFields,
  candidates: CandidateWorker[],
): Placement | undefined {
  const first = placeInTurn(fields, candidates, 0);
  if (!first || first.risk === 0 || fields.count === 1) return first;
  const second = placeInTurn(fields, candidates, first.risk);
  return second && isCheaper(second, first) ? second : first;
}

/**
 * Places the tasks one after the other, each at the lowest cost.
 *
 * @param risk of lateness that the tasks have in any case
 */
function placeInTurn(
  fields: SearchFields,
  candidates: CandidateWorker[],
  risk: number,
): Placement | undefined {
  const trial: Trial = { changed: new Map(), victims: new Set(), risk };
  const workers: Worker[] = [];
  let cost = 0;
  let interference = 0;
  for (let index = 0; index < fields.count; index++) {
    const choice = chooseWorker(fields, candidates, trial);
    if (!choice) return undefined;
    for (const victim of choice.victims) addVictim(candidates, trial, victim);
    allocateTask(changeCandidate(trial, choice.candidate), fields.step);
    workers.push(choice.candidate.worker);
    cost += choice.cost;
    interference += choice.interference;
    trial.risk = Math.max(trial.risk, choice.risk);
  }
  const loss = trial.risk * (fields.forecast?.stake ?? 0);
  const { victims, risk: reached } = trial;
  return { workers, victims, cost, risk: reached, loss, interference };
}

/** What the tasks placed so far change, until the placement is accepted. */
interface Trial {
  /** Copies of the candidates that differ from their state in the round. */
  changed: Map<Worker, CandidateWorker>;
  victims: Set<Run>;
  /** Highest risk of lateness of the tasks placed so far. */
  risk: number;
}

/** Returns the trial's own copy of a candidate. */
function changeCandidate(
  trial: Trial,
  candidate: CandidateWorker,
): CandidateWorker {
  const known = trial.changed.get(candidate.worker);
  if (known) return known;
  const copy = { ...candidate, free: { ...candidate.free } };
  trial.changed.set(candidate.worker, copy);
  return copy;
}

/** A worker for one task, and the runs that must end on it first. */
interface WorkerChoice {
  candidate: CandidateWorker;
  victims: Run[];
  /** Core-seconds, without those lost by lateness. */
  cost: number;
  /** Risk, from 0 to 1, that the task ends late. */
  risk: number;
  /** Cost of tasks that slow each other down. */
  interference: number;
}

/** Chooses the cheapest worker, or undefined if none can hold the task. */
function chooseWorker(
  fields: SearchFields,
  candidates: CandidateWorker[],
  trial: Trial,
): WorkerChoice | undefined {
  let best: WorkerChoice | undefined;
  let lowest = Infinity;
  const stake = fields.forecast?.stake ?? 0;
  const last = candidates.length - 1;
  for (let index = 0; index <= last; index++) {
    const listed = candidates[fields.reverseOrder ? last - index : index]!;
    const changed = trial.changed.get(listed.worker);
    const choice = changed
      ? evaluateWorker(fields, changed, trial.victims)
      : evaluateUnchanged(fields, listed);
    if (!choice) continue;
    const loss = stake * Math.max(0, choice.risk - trial.risk);
    const total = choice.cost + loss + choice.interference;
    if (total >= lowest) continue;
    best = choice;
    lowest = total;
  }
  return best;
}

/** Evaluates a candidate on which the trial has changed nothing, once. */
function evaluateUnchanged(
  fields: SearchFields,
  candidate: CandidateWorker,
): WorkerChoice | undefined {
  const { evaluated } = fields;
  if (evaluated.has(candidate)) return evaluated.get(candidate);
  const choice = evaluateWorker(fields, candidate, new Set());
  evaluated.set(candidate, choice);
  return choice;
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
  const { step, forecast } = fields;
  const { worker } = candidate;
  const unused = candidate.free.accelerators - step.accelerators;
  const baseCost = FRAGMENTATION_COST * Math.max(0, unused) +
    (wouldMix(worker, step) ? MIXING_COST : 0) +
    (worker.state.warmupLeft ? WARMUP_COST : 0) +
    (fields.joinCost?.(worker) ?? 0) + (forecast?.costOf(worker) ?? 0);
  if (fits(candidate, step)) {
    const interference = costOfInterference(fields, candidate);
    const risk = forecast?.riskOn(worker, false) ?? 0;
    return { candidate, victims: [], cost: baseCost, risk, interference };
  }
  if (step.maxPerWorker > 0 && candidate.stepTasks >= step.maxPerWorker) {
    return undefined;
  }
  const { mayPreempt } = fields;
  if (!mayPreempt && worker.stoppingRuns === 0) return undefined;
  const stoppable: { run: Run; cost: number }[] = [];
  for (const run of worker.runs) {
    if (chosen.has(run) || !(run.stopping || mayPreempt?.(run))) continue;
    stoppable.push({ run, cost: fields.stopCost(run) });
  }
  if (stoppable.length === 0) return undefined;
  stoppable.sort((a, b) => a.cost - b.cost);
  const trial: CandidateWorker = { ...candidate, free: { ...candidate.free } };
  const victims: Run[] = [];
  let cost = baseCost;
  for (const each of stoppable) {
    if (fits(trial, step)) break;
    victims.push(each.run);
    cost += each.cost;
    addCapacity(trial.free, taskCapacity(each.run.step), 1);
  }
  if (!fits(trial, step)) return undefined;
  const risk = forecast?.riskOn(worker, true) ?? 0;
  // Tasks don't wait for runs that stop to be kept apart from others.
  const interference = fields.interferenceCost && !mayPreempt
    ? MAX_INTERFERENCE_COST
    : 0;
  return { candidate, victims, cost, risk, interference };
}

/** Cost of the tasks that would slow each other down on free capacity. */
function costOfInterference(
  { interferenceCost, mayPreempt }: PlacementFields,
  { worker, stepTasks }: CandidateWorker,
): number {
  if (!interferenceCost || mayPreempt) return 0;
  return interferenceCost(worker, stepTasks > 0);
}

/** Whether tasks with and without checkpoints would share the worker. */
function wouldMix(worker: Worker, step: Step): boolean {
  const alike = step.checkpointing
    ? worker.checkpointingRuns
    : worker.runs.size - worker.checkpointingRuns;
  return alike < worker.runs.size;
}

/** Adds a victim and its gang, and counts the capacity that they will free. */
function addVictim(
  candidates: CandidateWorker[],
  trial: Trial,
  victim: Run,
): void {
  const ending = victim.stopping ? [victim] : gangOf(victim);
  for (const run of ending) {
    if (trial.victims.has(run)) continue;
    trial.victims.add(run);
    const candidate = candidates.find((each) =>
      each.worker.state.key === run.worker
    );
    if (!candidate) continue;
    const changed = changeCandidate(trial, candidate);
    addCapacity(changed.free, taskCapacity(run.step), 1);
  }
}
