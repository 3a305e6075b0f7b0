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

/** Cost in core-seconds of leaving an accelerator alone on its worker. */
const FRAGMENTATION_COST = 0.01;

/**
 * Cost of mixing work that saves its progress with work that does not. A
 * worker with the former only is emptied for urgent work at almost no loss.
 */
const MIXING_COST = 0.04;

/** Workers for a number of tasks, and the runs that must end before. */
export interface Placement {
  workers: Worker[];
  victims: Set<Run>;
  cost: number;
}

/** Which runs may be stopped for the step; none if it may not preempt. */
export type PreemptionRule = (run: Run) => boolean;

interface PlacementFields {
  candidates: CandidateWorker[];
  step: Step;
  count: number;
  now: Milliseconds;
  mayPreempt: PreemptionRule;
  /**
   * Whether equal workers are taken from the end of the list. Urgent work and
   * other work fill the workers from opposite ends, so that they meet late.
   */
  reverseOrder: boolean;
}

/**
 * Places all `count` tasks within one rack if `racks` lists any, the cheapest
 * rack first, or anywhere. Returns undefined if they do not all fit.
 */
export function placeTasks(
  fields: PlacementFields & { oneRack: boolean },
): Placement | undefined {
  if (!fields.oneRack) return placeOnCandidates(fields, fields.candidates);
  const racks = [
    ...new Set(fields.candidates.map((room) => room.worker.state.rack)),
  ];
  let best: Placement | undefined;
  for (const rack of fields.reverseOrder ? racks.toReversed() : racks) {
    const rooms = fields.candidates
      .filter((room) => room.worker.state.rack === rack);
    const placement = placeOnCandidates(fields, rooms);
    if (placement && (!best || placement.cost < best.cost)) best = placement;
  }
  return best;
}

function placeOnCandidates(
  fields: PlacementFields,
  from: CandidateWorker[],
): Placement | undefined {
  const rooms = from.map((room) => ({ ...room, free: { ...room.free } }));
  const victims = new Set<Run>();
  const workers: Worker[] = [];
  let cost = 0;
  for (let index = 0; index < fields.count; index++) {
    const choice = chooseWorker(fields, rooms, victims);
    if (!choice) return undefined;
    for (const victim of choice.victims) addVictim(rooms, victims, victim);
    allocateTask(choice.candidate, fields.step);
    workers.push(choice.candidate.worker);
    cost += choice.cost;
  }
  return { workers, victims, cost };
}

interface WorkerChoice {
  candidate: CandidateWorker;
  victims: Run[];
  cost: number;
}

function chooseWorker(
  fields: PlacementFields,
  rooms: CandidateWorker[],
  victims: Set<Run>,
): WorkerChoice | undefined {
  let best: WorkerChoice | undefined;
  for (const room of fields.reverseOrder ? rooms.toReversed() : rooms) {
    const choice = evaluateWorker(fields, room, victims);
    if (choice && (!best || choice.cost < best.cost)) best = choice;
  }
  return best;
}

function evaluateWorker(
  fields: PlacementFields,
  room: CandidateWorker,
  chosen: Set<Run>,
): WorkerChoice | undefined {
  const { step, now } = fields;
  const left = room.free.accelerators - step.accelerators;
  const fragment = FRAGMENTATION_COST * Math.max(0, left) +
    (wouldMix(room, step) ? MIXING_COST : 0);
  if (fits(room, step)) return { candidate: room, victims: [], cost: fragment };
  if (step.maxPerWorker > 0 && room.stepTasks >= step.maxPerWorker) {
    return undefined;
  }
  const candidates = [...room.worker.runs]
    .filter((run) =>
      !chosen.has(run) && (run.stopping || fields.mayPreempt(run))
    )
    .map((run) => ({ run, cost: stopCost(run, now) }))
    .sort((a, b) => a.cost - b.cost);
  const trial: CandidateWorker = { ...room, free: { ...room.free } };
  const victims: Run[] = [];
  let cost = fragment;
  for (const candidate of candidates) {
    if (fits(trial, step)) break;
    victims.push(candidate.run);
    cost += candidate.cost;
    addCapacity(trial.free, taskCapacity(candidate.run.step), 1);
  }
  return fits(trial, step) ? { candidate: room, victims, cost } : undefined;
}

/** Whether work that saves its progress would share a worker with other work. */
function wouldMix(room: CandidateWorker, step: Step): boolean {
  for (const run of room.worker.runs) {
    if (run.step.checkpointing !== step.checkpointing) return true;
  }
  return false;
}

/** Counts the capacity that a victim and its gang will give back. */
function addVictim(
  rooms: CandidateWorker[],
  victims: Set<Run>,
  victim: Run,
): void {
  const ends = victim.stopping ? [victim] : gangOf(victim);
  for (const run of ends) {
    if (victims.has(run)) continue;
    victims.add(run);
    const room = rooms.find((each) => each.worker.state.key === run.worker);
    if (room) addCapacity(room.free, taskCapacity(run.step), 1);
  }
}
