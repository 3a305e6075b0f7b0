/**
 * Finds the accelerators for one home.
 *
 * @module
 */

import type {
  HomePart,
  Inventory,
  Shape,
  TeamName,
  WorkerId,
} from "@dragonflyledge/model";
import {
  findBlockStart,
  listBlock,
  roundUpToPowerOfTwo,
} from "./find_block.ts";

/** A worker during the assignment of homes. */
export interface AssignableWorker {
  inventory: Inventory;
  /** For each accelerator, whether it belongs to no home yet. */
  unassigned: boolean[];
}

/** What is assigned so far, and what is left to assign. */
export interface AssignmentState {
  /** In ascending order of worker id. */
  workers: Map<WorkerId, AssignableWorker>;
  /** Number of accelerators by team and failure domain; see `domainKey`. */
  teamAccelerators: Map<string, number>;
}

/**
 * Finds accelerators for one instance of a shape, or returns undefined if too
 * few are left. Prefers a block on one worker, whatever the adjacency of the
 * shape, and failure domains where the team has the fewest accelerators, so
 * that the loss of one domain takes few of its guarantees. Does not change the
 * state.
 */
export function findHomeParts(fields: {
  team: TeamName;
  guarantee: Shape;
  state: AssignmentState;
}): HomePart[] | undefined {
  const { team, guarantee, state } = fields;
  const size = guarantee.accelerators;
  const single = findAlignedBlock(team, size, state);
  if (single !== undefined) return [single];
  if (guarantee.adjacency === "any") {
    return collectAccelerators([...state.workers.values()], size, false);
  }
  const isLargerThanWorkers = [...state.workers.values()].every((worker) =>
    worker.unassigned.length < size
  );
  if (guarantee.adjacency === "worker") {
    return isLargerThanWorkers
      ? findWholeWorkers(team, size, state)
      : undefined;
  }
  return findInRack(team, size, isLargerThanWorkers, state);
}

/** Records in the state that the parts belong to a home of the team. */
export function assignParts(fields: {
  state: AssignmentState;
  team: TeamName;
  parts: HomePart[];
}): void {
  const { state, team, parts } = fields;
  for (const part of parts) {
    const worker = state.workers.get(part.worker);
    if (worker === undefined) continue;
    for (const index of part.accelerators) worker.unassigned[index] = false;
    const key = domainKey(team, worker);
    const before = state.teamAccelerators.get(key) ?? 0;
    state.teamAccelerators.set(key, before + part.accelerators.length);
  }
}

/** Returns the key of the team and the worker's domain in `teamAccelerators`. */
function domainKey(team: TeamName, worker: AssignableWorker): string {
  const { region, failureDomain } = worker.inventory.location;
  return `${team}\n${region}\n${failureDomain}`;
}

/** Returns the number of accelerators of the worker without a home. */
function countUnassigned(worker: AssignableWorker): number {
  return worker.unassigned.reduce((sum, isFree) => sum + (isFree ? 1 : 0), 0);
}

/**
 * Finds an aligned block on one worker, in the failure domain where the team
 * has the fewest accelerators and there on the worker with the fewest left.
 */
function findAlignedBlock(
  team: TeamName,
  size: number,
  state: AssignmentState,
): HomePart | undefined {
  let best: { part: HomePart; rank: [number, number] } | undefined;
  for (const worker of state.workers.values()) {
    const rank: [number, number] = [
      state.teamAccelerators.get(domainKey(team, worker)) ?? 0,
      countUnassigned(worker),
    ];
    if (best !== undefined && !isLowerRank(rank, best.rank)) continue;
    const start = findBlockStart({ usable: worker.unassigned, size });
    if (start < 0) continue;
    const accelerators = listBlock(start, size);
    best = { part: { worker: worker.inventory.worker, accelerators }, rank };
  }
  return best?.part;
}

function isLowerRank(a: [number, number], b: [number, number]): boolean {
  return a[0] < b[0] || (a[0] === b[0] && a[1] < b[1]);
}

/**
 * Takes whole workers, and an aligned block for the remainder, first in the
 * failure domains where the team has the fewest accelerators.
 */
function findWholeWorkers(
  team: TeamName,
  size: number,
  state: AssignmentState,
) {
  const workers = [...state.workers.values()];
  const countInDomain = (worker: AssignableWorker) =>
    state.teamAccelerators.get(domainKey(team, worker)) ?? 0;
  workers.sort((a, b) => countInDomain(a) - countInDomain(b));
  return collectAccelerators(workers, size, true);
}

/**
 * Finds accelerators in one rack, in the failure domain where the team has the
 * fewest accelerators and there in the rack with the fewest left. With `whole`,
 * it takes only whole workers and an aligned block for the remainder.
 */
function findInRack(
  team: TeamName,
  size: number,
  whole: boolean,
  state: AssignmentState,
): HomePart[] | undefined {
  const racks = new Map<string, AssignableWorker[]>();
  for (const worker of state.workers.values()) {
    const { location } = worker.inventory;
    const key = `${domainKey(team, worker)}\n${location.rack}`;
    const rack = racks.get(key);
    if (rack === undefined) racks.set(key, [worker]);
    else rack.push(worker);
  }
  let best: { parts: HomePart[]; rank: [number, number] } | undefined;
  for (const rack of racks.values()) {
    const first = rack[0];
    if (first === undefined) continue;
    const rank: [number, number] = [
      state.teamAccelerators.get(domainKey(team, first)) ?? 0,
      rack.reduce((sum, worker) => sum + countUnassigned(worker), 0),
    ];
    if (rank[1] < size || (best && !isLowerRank(rank, best.rank))) continue;
    const parts = collectAccelerators(rack, size, whole);
    if (parts !== undefined) best = { parts, rank };
  }
  return best?.parts;
}

/**
 * Takes accelerators of the workers in the given order, or returns undefined if
 * there are too few. With `whole`, it takes only whole workers, and an aligned
 * block of one more worker for the remainder.
 */
function collectAccelerators(
  workers: AssignableWorker[],
  size: number,
  whole: boolean,
): HomePart[] | undefined {
  const parts: HomePart[] = [];
  const used = new Set<WorkerId>();
  let missing = size;
  const add = (worker: AssignableWorker, accelerators: number[]) => {
    parts.push({ worker: worker.inventory.worker, accelerators });
    used.add(worker.inventory.worker);
    missing -= accelerators.length;
  };
  for (const worker of workers) {
    const indexes = worker.unassigned.flatMap((isUnassigned, index) =>
      isUnassigned ? [index] : []
    );
    if (missing === 0 || indexes.length === 0) continue;
    const fits = indexes.length === worker.unassigned.length &&
      indexes.length <= missing;
    if (whole ? fits : true) add(worker, indexes.slice(0, missing));
  }
  if (missing > 0 && whole) addRemainderBlock(workers, missing, used, add);
  if (missing > 0) return undefined;
  return parts.sort((a, b) => a.worker < b.worker ? -1 : 1);
}

/** Adds an aligned block of `size` on the first unused worker that has one. */
function addRemainderBlock(
  workers: AssignableWorker[],
  size: number,
  used: Set<WorkerId>,
  add: (worker: AssignableWorker, accelerators: number[]) => void,
): void {
  for (const worker of workers) {
    if (used.has(worker.inventory.worker)) continue;
    if (worker.unassigned.length < roundUpToPowerOfTwo(size) / 2) continue;
    const start = findBlockStart({ usable: worker.unassigned, size });
    if (start >= 0) return add(worker, listBlock(start, size));
  }
}
