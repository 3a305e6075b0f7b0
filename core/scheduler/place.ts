/**
 * Chooses workers for the tasks of one step.
 *
 * @module
 */

import type { Milliseconds } from "@dragonflyledge/model";
import type { Step } from "./job.ts";
import { fits, stopCost, take } from "./fit.ts";
import type { Room } from "./fit.ts";
import { addCapacity, gangOf, taskCapacity } from "./runs.ts";
import type { Run, Worker } from "./state.ts";

/** Cost in core-seconds of leaving an accelerator alone on its worker. */
const FRAGMENT_COST = 0.01;

/**
 * Cost of mixing work that saves its progress with work that does not. A
 * worker with the former only is emptied for urgent work at almost no loss.
 */
const MIXED_COST = 0.04;

/** Workers for a number of tasks, and the runs that must end before. */
export interface Placement {
  workers: Worker[];
  victims: Set<Run>;
  cost: number;
}

/** Which runs may be stopped for the step; none if it may not preempt. */
export type Preemption = (run: Run) => boolean;

interface PlaceFields {
  rooms: Room[];
  step: Step;
  count: number;
  now: Milliseconds;
  mayStop: Preemption;
  /**
   * Whether equal workers are taken from the end of the list. Urgent work and
   * other work fill the workers from opposite ends, so that they meet late.
   */
  fromEnd: boolean;
}

/**
 * Places all `count` tasks within one rack if `racks` lists any, the cheapest
 * rack first, or anywhere. Returns undefined if they do not all fit.
 */
export function placeTasks(
  fields: PlaceFields & { oneRack: boolean },
): Placement | undefined {
  if (!fields.oneRack) return placeIn(fields, fields.rooms);
  const racks = [
    ...new Set(fields.rooms.map((room) => room.worker.state.rack)),
  ];
  let best: Placement | undefined;
  for (const rack of fields.fromEnd ? racks.toReversed() : racks) {
    const rooms = fields.rooms
      .filter((room) => room.worker.state.rack === rack);
    const placement = placeIn(fields, rooms);
    if (placement && (!best || placement.cost < best.cost)) best = placement;
  }
  return best;
}

function placeIn(fields: PlaceFields, from: Room[]): Placement | undefined {
  const rooms = from.map((room) => ({ ...room, free: { ...room.free } }));
  const victims = new Set<Run>();
  const workers: Worker[] = [];
  let cost = 0;
  for (let index = 0; index < fields.count; index++) {
    const choice = chooseRoom(fields, rooms, victims);
    if (!choice) return undefined;
    for (const victim of choice.victims) addVictim(rooms, victims, victim);
    take(choice.room, fields.step);
    workers.push(choice.room.worker);
    cost += choice.cost;
  }
  return { workers, victims, cost };
}

interface Choice {
  room: Room;
  victims: Run[];
  cost: number;
}

function chooseRoom(
  fields: PlaceFields,
  rooms: Room[],
  victims: Set<Run>,
): Choice | undefined {
  let best: Choice | undefined;
  for (const room of fields.fromEnd ? rooms.toReversed() : rooms) {
    const choice = tryRoom(fields, room, victims);
    if (choice && (!best || choice.cost < best.cost)) best = choice;
  }
  return best;
}

function tryRoom(
  fields: PlaceFields,
  room: Room,
  chosen: Set<Run>,
): Choice | undefined {
  const { step, now } = fields;
  const left = room.free.accelerators - step.accelerators;
  const fragment = FRAGMENT_COST * Math.max(0, left) +
    (isMixed(room, step) ? MIXED_COST : 0);
  if (fits(room, step)) return { room, victims: [], cost: fragment };
  if (step.maxPerWorker > 0 && room.ownTasks >= step.maxPerWorker) {
    return undefined;
  }
  const candidates = [...room.worker.runs]
    .filter((run) => !chosen.has(run) && (run.stopping || fields.mayStop(run)))
    .map((run) => ({ run, cost: stopCost(run, now) }))
    .sort((a, b) => a.cost - b.cost);
  const trial: Room = { ...room, free: { ...room.free } };
  const victims: Run[] = [];
  let cost = fragment;
  for (const candidate of candidates) {
    if (fits(trial, step)) break;
    victims.push(candidate.run);
    cost += candidate.cost;
    addCapacity(trial.free, taskCapacity(candidate.run.step), 1);
  }
  return fits(trial, step) ? { room, victims, cost } : undefined;
}

/** Whether work that saves its progress would share a worker with other work. */
function isMixed(room: Room, step: Step): boolean {
  for (const run of room.worker.runs) {
    if (run.step.checkpointing !== step.checkpointing) return true;
  }
  return false;
}

/** Counts the capacity that a victim and its gang will give back. */
function addVictim(rooms: Room[], victims: Set<Run>, victim: Run): void {
  const ends = victim.stopping ? [victim] : gangOf(victim);
  for (const run of ends) {
    if (victims.has(run)) continue;
    victims.add(run);
    const room = rooms.find((each) => each.worker.state.key === run.worker);
    if (room) addCapacity(room.free, taskCapacity(run.step), 1);
  }
}
