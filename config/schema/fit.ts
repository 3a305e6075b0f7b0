/**
 * Whether the guarantees of a configuration fit the workers.
 *
 * @module
 */

import { err, ok } from "neverthrow";
import type { Result } from "neverthrow";
import { Adjacency } from "@dragonflyledge/model";
import type { Configuration, Inventory, Shape } from "@dragonflyledge/model";
import type { Problem } from "./problem.ts";
import { guaranteedAccelerators } from "./rules.ts";

/** One guaranteed shape with its place in the document. */
interface Demand {
  path: string;
  shape: Shape;
}

/** Free accelerators of one worker. */
interface WorkerCapacity {
  rack: string;
  capacity: number;
  free: number;
}

/**
 * Refuses guarantees that exceed the capacity together, or for which no
 * arrangement on the workers and racks was found.
 */
export function checkFit(fields: {
  configuration: Configuration;
  inventories: Inventory[];
}): Result<void, Problem[]> {
  const rooms = fields.inventories.map(toWorkerCapacity);
  const total = rooms.reduce((sum, room) => sum + room.capacity, 0);
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
        `exceed the ${total} of ${rooms.length} workers`,
      hint: `guarantees that add up to at most ${total}`,
    }]);
  }
  const demands = teams.flatMap((team) =>
    team.guarantees.map((shape, index) => ({
      path: `teams[${team.name}].guarantees[${index}]`,
      shape,
    }))
  );
  const problems = findUnplaced(demands, rooms);
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

/** Strictest and largest shapes first: later ones fill the gaps. */
function findUnplaced(demands: Demand[], rooms: WorkerCapacity[]): Problem[] {
  const rank = [Adjacency.Rack, Adjacency.Worker, Adjacency.Any] as string[];
  const sorted = [...demands].sort((a, b) =>
    rank.indexOf(a.shape.adjacency) - rank.indexOf(b.shape.adjacency) ||
    b.shape.accelerators - a.shape.accelerators
  );
  return sorted.flatMap(({ path, shape }) => {
    for (let placed = 0; placed < shape.count; placed++) {
      if (!takeShape(shape, rooms)) {
        return [describeUnplaced(path, shape, placed)];
      }
    }
    return [];
  });
}

function describeUnplaced(path: string, shape: Shape, placed: number): Problem {
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

function takeShape(shape: Shape, rooms: WorkerCapacity[]): boolean {
  const size = shape.accelerators;
  if (shape.adjacency === Adjacency.Worker) {
    return takeFromOneWorker(size, rooms);
  }
  if (shape.adjacency === Adjacency.Any) return takeFromAnyWorkers(size, rooms);
  const racks = new Map<string, WorkerCapacity[]>();
  for (const room of rooms) {
    racks.set(room.rack, [...racks.get(room.rack) ?? [], room]);
  }
  const free = (rack: WorkerCapacity[]) =>
    rack.reduce((sum, room) => sum + room.free, 0);
  const fullestFirst = [...racks.values()].sort((a, b) => free(a) - free(b));
  return fullestFirst.some((rack) => takeFromRack(size, rack));
}

/** Best fit. Blocks are powers of two, so that aligned ones leave no gaps. */
function takeFromOneWorker(size: number, rooms: WorkerCapacity[]): boolean {
  const fitting = rooms.filter((room) => room.free >= size);
  const tightest = fitting.sort((a, b) => a.free - b.free)[0];
  if (tightest === undefined) return false;
  tightest.free -= size;
  return true;
}

/** Over one worker's worth, whole workers; else a part of one if possible. */
function takeFromRack(size: number, rack: WorkerCapacity[]): boolean {
  if (takeFromOneWorker(size, rack)) return true;
  const largest = Math.max(...rack.map((room) => room.capacity));
  if (size <= largest) return takeFromAnyWorkers(size, rack);
  const idle = rack.filter((room) => room.free === room.capacity);
  let left = size;
  const taken = idle.filter((room) => {
    const needed = left > 0;
    left -= room.capacity;
    return needed;
  });
  if (left > 0) return false;
  for (const room of taken) room.free = 0;
  return true;
}

function takeFromAnyWorkers(size: number, rooms: WorkerCapacity[]): boolean {
  if (rooms.reduce((sum, room) => sum + room.free, 0) < size) return false;
  let left = size;
  for (const room of rooms) {
    const part = Math.min(left, room.free);
    room.free -= part;
    left -= part;
  }
  return true;
}
