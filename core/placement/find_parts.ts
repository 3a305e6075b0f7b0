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
import { blockOf, findBlock, roundUpToPowerOfTwo } from "./find_block.ts";

/** A worker with the accelerators that belong to no home yet. */
export interface SpaceWorker {
  inventory: Inventory;
  free: boolean[];
}

/** Accelerators that belong to no home yet. */
export interface Space {
  /** In ascending order of worker id. */
  workers: Map<WorkerId, SpaceWorker>;
  /** Accelerators of each team in each failure domain. */
  teamDomains: Map<string, number>;
}

/** Accelerators for one instance of a shape, or nothing if none are left. */
export function findParts(fields: {
  team: TeamName;
  guarantee: Shape;
  space: Space;
}): HomePart[] | undefined {
  const { team, guarantee, space } = fields;
  const size = guarantee.accelerators;
  const single = findSingle(team, size, space);
  if (single !== undefined) return [single];
  if (guarantee.adjacency === "any") {
    return collect([...space.workers.values()], size, false);
  }
  const large = [...space.workers.values()].every((worker) =>
    worker.free.length < size
  );
  if (guarantee.adjacency === "worker") {
    return large ? findWhole(team, size, space) : undefined;
  }
  return findInRack(team, size, large, space);
}

/** Marks the parts as taken by the team. */
export function takeParts(fields: {
  space: Space;
  team: TeamName;
  parts: HomePart[];
}): void {
  const { space, team, parts } = fields;
  for (const part of parts) {
    const worker = space.workers.get(part.worker);
    if (worker === undefined) continue;
    for (const index of part.accelerators) worker.free[index] = false;
    const key = domainKey(team, worker);
    const before = space.teamDomains.get(key) ?? 0;
    space.teamDomains.set(key, before + part.accelerators.length);
  }
}

function domainKey(team: TeamName, worker: SpaceWorker): string {
  const { region, failureDomain } = worker.inventory.location;
  return `${team}\n${region}\n${failureDomain}`;
}

function countFree(worker: SpaceWorker): number {
  return worker.free.reduce((sum, free) => sum + (free ? 1 : 0), 0);
}

/** An aligned block in the failure domain where the team has least. */
function findSingle(
  team: TeamName,
  size: number,
  space: Space,
): HomePart | undefined {
  let best: { part: HomePart; rank: [number, number] } | undefined;
  for (const worker of space.workers.values()) {
    const rank: [number, number] = [
      space.teamDomains.get(domainKey(team, worker)) ?? 0,
      countFree(worker),
    ];
    if (best !== undefined && !isLess(rank, best.rank)) continue;
    const start = findBlock({ usable: worker.free, size });
    if (start < 0) continue;
    const accelerators = blockOf(start, size);
    best = { part: { worker: worker.inventory.worker, accelerators }, rank };
  }
  return best?.part;
}

function isLess(a: [number, number], b: [number, number]): boolean {
  return a[0] < b[0] || (a[0] === b[0] && a[1] < b[1]);
}

/** Whole workers, rack by rack, in the domain where the team has least. */
function findWhole(team: TeamName, size: number, space: Space) {
  const workers = [...space.workers.values()];
  const load = (worker: SpaceWorker) =>
    space.teamDomains.get(domainKey(team, worker)) ?? 0;
  workers.sort((a, b) => load(a) - load(b));
  return collect(workers, size, true);
}

function findInRack(
  team: TeamName,
  size: number,
  whole: boolean,
  space: Space,
): HomePart[] | undefined {
  const racks = new Map<string, SpaceWorker[]>();
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
      space.teamDomains.get(domainKey(team, first)) ?? 0,
      rack.reduce((sum, worker) => sum + countFree(worker), 0),
    ];
    if (rank[1] < size || (best && !isLess(rank, best.rank))) continue;
    const parts = collect(rack, size, whole);
    if (parts !== undefined) best = { parts, rank };
  }
  return best?.parts;
}

/**
 * Takes accelerators of the workers in turn. With `whole`, only whole workers
 * and an aligned block for the remainder.
 */
function collect(
  workers: SpaceWorker[],
  size: number,
  whole: boolean,
): HomePart[] | undefined {
  const parts: HomePart[] = [];
  const used = new Set<WorkerId>();
  let missing = size;
  const add = (worker: SpaceWorker, accelerators: number[]) => {
    parts.push({ worker: worker.inventory.worker, accelerators });
    used.add(worker.inventory.worker);
    missing -= accelerators.length;
  };
  for (const worker of workers) {
    const free = worker.free.flatMap((isFree, index) => isFree ? [index] : []);
    if (missing === 0 || free.length === 0) continue;
    const fits = free.length === worker.free.length && free.length <= missing;
    if (whole ? fits : true) add(worker, free.slice(0, missing));
  }
  if (missing > 0 && whole) addRemainder(workers, missing, used, add);
  if (missing > 0) return undefined;
  return parts.sort((a, b) => a.worker < b.worker ? -1 : 1);
}

function addRemainder(
  workers: SpaceWorker[],
  size: number,
  used: Set<WorkerId>,
  add: (worker: SpaceWorker, accelerators: number[]) => void,
): void {
  for (const worker of workers) {
    if (used.has(worker.inventory.worker)) continue;
    if (worker.free.length < roundUpToPowerOfTwo(size) / 2) continue;
    const start = findBlock({ usable: worker.free, size });
    if (start >= 0) return add(worker, blockOf(start, size));
  }
}
