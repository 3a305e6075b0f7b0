/**
 * Checks whether the guarantees of a configuration fit the workers.
 *
 * @module
 */

import { err, ok } from "neverthrow";
import type { Result } from "neverthrow";
import { Adjacency } from "@dragonflyledge/model";
import type { Configuration, Inventory, Shape } from "@dragonflyledge/model";
import type { Problem } from "./problem.ts";
import { guaranteedAccelerators } from "./rules.ts";

/** One guaranteed shape and its path in the document. */
interface Demand {
  path: string;
  shape: Shape;
}

/** Accelerators of one worker, of which `free` are not yet assigned. */
interface WorkerCapacity {
  rack: string;
  capacity: number;
  free: number;
}

/**
 * Returns problems if the guarantees together exceed the capacity, or if no
 * arrangement of them on the workers and racks was found. The search is greedy
 * and so may miss an arrangement.
 */
export function checkFit(fields: {
  configuration: Configuration;
  inventories: Inventory[];
}): Result<void, Problem[]> {
  const workers = fields.inventories.map(toWorkerCapacity);
  const total = workers.reduce((sum, worker) => sum + worker.capacity, 0);
  const { teams } = fields.configuration;
  const each = teams.map((team) => ({
    name: team.name,
    guaranteed: guaranteedAccelerators(team),
  }));
  const wanted = each.reduce((sum, team) => sum + team.guaranteed, 0);
  if (wanted > total) {
    const shares = each.map((team) => `${team.name} ${team.guaranteed}`);
    return err([{
      path: "teams",
      value: wanted,
      message: `guarantees of ${wanted} accelerators (${shares.join(", ")}) ` +
        `exceed the ${total} of ${workers.length} workers`,
      hint: `guarantees that add up to at most ${total}`,
    }]);
  }
  const demands = teams.flatMap((team) =>
    team.guarantees.map((shape, index) => ({
      path: `teams[${team.name}].guarantees[${index}]`,
      shape,
    }))
  );
  const problems = findUnplaced(demands, workers);
  return problems.length === 0 ? ok(undefined) : err(problems);
}

function toWorkerCapacity(inventory: Inventory): WorkerCapacity {
  const { region, failureDomain, rack } = inventory.location;
  const { accelerators } = inventory.capacity;
  return {
    rack: `${region}/${failureDomain}/${rack}`,
    capacity: accelerators,
    free: accelerators,
  };
}

/**
 * Assigns all shapes, and returns a problem for each that has no place. The
 * strictest adjacency and the largest size go first; later ones fill the gaps.
 */
function findUnplaced(demands: Demand[], workers: WorkerCapacity[]): Problem[] {
  const rank = [Adjacency.Rack, Adjacency.Worker, Adjacency.Any] as string[];
  const sorted = [...demands].sort((a, b) =>
    rank.indexOf(a.shape.adjacency) - rank.indexOf(b.shape.adjacency) ||
    b.shape.accelerators - a.shape.accelerators
  );
  return sorted.flatMap(({ path, shape }) => {
    for (let placed = 0; placed < shape.count; placed++) {
      if (!takeShape(shape, workers)) return [toProblem(path, shape, placed)];
    }
    return [];
  });
}

function toProblem(path: string, shape: Shape, placed: number): Problem {
  const where = shape.adjacency === Adjacency.Any
    ? "the workers"
    : `one ${shape.adjacency}`;
  return {
    path,
    value: shape,
    message: `only ${placed} of ${shape.count} shapes of ` +
      `${shape.accelerators} accelerators on ${where} were arranged ` +
      "beside the other guarantees",
    hint: "a smaller shape, a lower count or a looser adjacency",
  };
}

/** Takes the accelerators of one shape; returns false if they aren't free. */
function takeShape(shape: Shape, workers: WorkerCapacity[]): boolean {
  const size = shape.accelerators;
  if (shape.adjacency === Adjacency.Worker) return takeFromOne(size, workers);
  if (shape.adjacency === Adjacency.Any) return takeFromAny(size, workers);
  const racks = new Map<string, WorkerCapacity[]>();
  for (const worker of workers) {
    racks.set(worker.rack, [...racks.get(worker.rack) ?? [], worker]);
  }
  const free = (rack: WorkerCapacity[]) =>
    rack.reduce((sum, worker) => sum + worker.free, 0);
  const leastFreeFirst = [...racks.values()].sort((a, b) => free(a) - free(b));
  return leastFreeFirst.some((rack) => takeFromRack(size, rack));
}

/**
 * Takes accelerators of the worker that has the fewest free ones that suffice.
 * Blocks on one worker are powers of two, so that aligned ones leave no gaps.
 */
function takeFromOne(size: number, workers: WorkerCapacity[]): boolean {
  const fitting = workers.filter((worker) => worker.free >= size);
  const smallest = fitting.sort((a, b) => a.free - b.free)[0];
  if (smallest === undefined) return false;
  smallest.free -= size;
  return true;
}

/**
 * Takes accelerators within a rack: of one worker if possible, and else of any
 * workers. A shape larger than a worker gets whole workers.
 */
function takeFromRack(size: number, rack: WorkerCapacity[]): boolean {
  if (takeFromOne(size, rack)) return true;
  const largest = Math.max(...rack.map((worker) => worker.capacity));
  if (size <= largest) return takeFromAny(size, rack);
  const idle = rack.filter((worker) => worker.free === worker.capacity);
  let left = size;
  const taken = idle.filter((worker) => {
    const needed = left > 0;
    left -= worker.capacity;
    return needed;
  });
  if (left > 0) return false;
  for (const worker of taken) worker.free = 0;
  return true;
}

/** Takes accelerators of the workers in turn, however they are spread. */
function takeFromAny(size: number, workers: WorkerCapacity[]): boolean {
  if (workers.reduce((sum, each) => sum + each.free, 0) < size) return false;
  let left = size;
  for (const worker of workers) {
    const part = Math.min(left, worker.free);
    worker.free -= part;
    left -= part;
  }
  return true;
}
