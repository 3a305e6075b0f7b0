/**
 * Search for the accelerators of one home.
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

/** A worker with the accelerators that belong to no home yet. */
export interface AssignableWorker {
  inventory: Inventory;
  unassigned: boolean[];
}

/** Accelerators that belong to no home yet. */
export interface AssignmentState {
  /** In ascending order of worker id. */
  workers: Map<WorkerId, AssignableWorker>;
  /** Accelerators of each team in each failure domain. */
  teamAccelerators: Map<string, number>;
}

/** Accelerators for one instance of a shape, or nothing if none are left. */
export function findHomeParts(fields: {
  team: TeamName;
  guarantee: Shape;
  state: AssignmentState;
}): HomePart[] | undefined {
  const { team, guarantee, state: space } = fields;
  const size = guarantee.accelerators;
  const single = findAlignedBlock(team, size, space);
  if (single !== undefined) return [single];
  if (guarantee.adjacency === "any") {
    return collectAccelerators([...space.workers.values()], size, false);
  }
  const large = [...space.workers.values()].every((worker) =>
    worker.unassigned.length < size
  );
  if (guarantee.adjacency === "worker") {
    return large ? findWholeWorkers(team, size, space) : undefined;
  }
  return findInRack(team, size, large, space);
}

/** Marks the parts as taken by the team. */
export function assignParts(fields: {
  state: AssignmentState;
  team: TeamName;
  parts: HomePart[];
}): void {
  const { state: space, team, parts } = fields;
  for (const part of parts) {
    const worker = space.workers.get(part.worker);
    if (worker === undefined) continue;
    for (const index of part.accelerators) worker.unassigned[index] = false;
    const key = domainKey(team, worker);
    const before = space.teamAccelerators.get(key) ?? 0;
    space.teamAccelerators.set(key, before + part.accelerators.length);
  }
}

function domainKey(team: TeamName, worker: AssignableWorker): string {
  const { region, failureDomain } = worker.inventory.location;
  return `${team}\n${region}\n${failureDomain}`;
}

function countUnassigned(worker: AssignableWorker): number {
  return worker.unassigned.reduce((sum, free) => sum + (free ? 1 : 0), 0);
}

/** An aligned block in the failure domain where the team has least. */
function findAlignedBlock(
  team: TeamName,
  size: number,
  space: AssignmentState,
): HomePart | undefined {
  let best: { part: HomePart; rank: [number, number] } | undefined;
  for (const worker of space.workers.values()) {
    const rank: [number, number] = [
      space.teamAccelerators.get(domainKey(team, worker)) ?? 0,
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

/** Whole workers, rack by rack, in the domain where the team has least. */
function findWholeWorkers(
  team: TeamName,
  size: number,
  space: AssignmentState,
) {
  const workers = [...space.workers.values()];
  const load = (worker: AssignableWorker) =>
    space.teamAccelerators.get(domainKey(team, worker)) ?? 0;
  workers.sort((a, b) => load(a) - load(b));
  return collectAccelerators(workers, size, true);
}

function findInRack(
  team: TeamName,
  size: number,
  whole: boolean,
  space: AssignmentState,
): HomePart[] | undefined {
  const racks = new Map<string, AssignableWorker[]>();
  for (const worker of space.workers.values()) {
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
      space.teamAccelerators.get(domainKey(team, first)) ?? 0,
      rack.reduce((sum, worker) => sum + countUnassigned(worker), 0),
    ];
    if (rank[1] < size || (best && !isLowerRank(rank, best.rank))) continue;
    const parts = collectAccelerators(rack, size, whole);
    if (parts !== undefined) best = { parts, rank };
  }
  return best?.parts;
}

/**
 * Takes accelerators of the workers in turn. With `whole`, only whole workers
 * and an aligned block for the remainder.
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
    const free = worker.unassigned.flatMap((isFree, index) =>
      isFree ? [index] : []
    );
    if (missing === 0 || free.length === 0) continue;
    const fits = free.length === worker.unassigned.length &&
      free.length <= missing;
    if (whole ? fits : true) add(worker, free.slice(0, missing));
  }
  if (missing > 0 && whole) addRemainderBlock(workers, missing, used, add);
  if (missing > 0) return undefined;
  return parts.sort((a, b) => a.worker < b.worker ? -1 : 1);
}

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
