/**
 * Assigns accelerators to the guaranteed shapes of the teams.
 *
 * @module
 */

import type {
  Configuration,
  Home,
  HomePart,
  HomesTable,
  Inventory,
  Shape,
  TeamName,
} from "@dragonflyledge/model";
import { assignParts, findHomeParts } from "./find_parts.ts";
import type { AssignmentState } from "./find_parts.ts";
import { isValidHome } from "./is_valid_home.ts";

/** One of the `count` instances of a guaranteed shape. */
interface ShapeInstance {
  team: TeamName;
  /** Index into the guarantees of the team. */
  shape: number;
  /** Number of the instance, from 0. */
  instance: number;
  guarantee: Shape;
}

/**
 * Computes the homes table. It depends only on the arguments, and not on the
 * order of `inventories`, so that all entries compute the same one. Homes of
 * `previous` that are still valid stay. If some shapes have no home then, it
 * also tries with only those homes kept that are at least as large as the
 * largest of these shapes, and takes that table if it leaves fewer guaranteed
 * accelerators without a home.
 */
export function assignHomes(fields: {
  configuration: Configuration;
  inventories: Iterable<Inventory>;
  previous?: HomesTable;
  /** Version of the new table. */
  version: number;
}): HomesTable {
  const { configuration, previous, version } = fields;
  const instances = listShapeInstances(configuration);
  const inventories = [...fields.inventories].sort((a, b) =>
    a.worker < b.worker ? -1 : 1
  );
  const former = previous?.homes ?? [];
  let result = assignInstances(instances, inventories, former);
  if (result.unplaced.length > 0 && former.length > 0) {
    const size = Math.max(
      ...result.unplaced.map((each) => each.guarantee.accelerators),
    );
    const large = former.filter((home) =>
      countAccelerators(home.parts) >= size
    );
    const moved = assignInstances(instances, inventories, large);
    if (sumSizes(moved.unplaced) < sumSizes(result.unplaced)) result = moved;
  }
  return {
    version,
    configurationVersion: configuration.version,
    homes: result.homes,
    unplaced: result.unplaced.map(({ team, shape, instance }) => ({
      team,
      shape,
      instance,
    })),
  };
}

/** Sums the accelerators of the instances. */
function sumSizes(instances: ShapeInstance[]): number {
  return instances.reduce((sum, each) => sum + each.guarantee.accelerators, 0);
}

/** Counts the accelerators of a home. */
function countAccelerators(parts: HomePart[]): number {
  return parts.reduce((sum, part) => sum + part.accelerators.length, 0);
}

/**
 * Lists all instances of guaranteed shapes in the order of assignment. The
 * largest come first, since they need the largest free blocks, and then the
 * first instance of every shape before the second of any.
 */
function listShapeInstances(configuration: Configuration): ShapeInstance[] {
  const instances: ShapeInstance[] = [];
  for (const { name: team, guarantees } of configuration.teams) {
    guarantees.forEach((guarantee, shape) => {
      if (guarantee.accelerators <= 0) return;
      for (let instance = 0; instance < guarantee.count; instance++) {
        instances.push({ team, shape, instance, guarantee });
      }
    });
  }
  return instances.sort((a, b) =>
    b.guarantee.accelerators - a.guarantee.accelerators ||
    a.instance - b.instance ||
    (a.team < b.team ? -1 : a.team > b.team ? 1 : a.shape - b.shape)
  );
}

/** Assigns homes to the instances, in order, after keeping the former ones. */
function assignInstances(
  instances: ShapeInstance[],
  inventories: Inventory[],
  former: Home[],
) {
  const state: AssignmentState = {
    workers: new Map(),
    teamAccelerators: new Map(),
  };
  for (const inventory of inventories) {
    const unassigned = Array<boolean>(inventory.capacity.accelerators).fill(
      true,
    );
    state.workers.set(inventory.worker, { inventory, unassigned });
  }
  const placed = keepValidHomes(instances, former, state);
  const unplaced: ShapeInstance[] = [];
  for (const each of instances) {
    if (placed.has(each)) continue;
    const parts = findHomeParts({ ...each, state });
    if (parts === undefined) {
      unplaced.push(each);
      continue;
    }
    assignParts({ state, team: each.team, parts });
    placed.set(each, parts);
  }
  const homes = instances.flatMap((each) => {
    const { team, shape, instance } = each;
    const parts = placed.get(each);
    return parts === undefined ? [] : [{ team, shape, instance, parts }];
  });
  return { homes, unplaced };
}

/**
 * Keeps the former homes that are still valid: first each for the same instance
 * as before, then for any instance of the team whose shape it satisfies. Returns
 * the homes by instance.
 */
function keepValidHomes(
  instances: ShapeInstance[],
  former: Home[],
  state: AssignmentState,
) {
  const placed = new Map<ShapeInstance, HomePart[]>();
  const byKey = new Map(former.map((home) => [instanceKey(home), home]));
  const keep = (each: ShapeInstance, home: Home | undefined): boolean => {
    const isValid = home !== undefined &&
      isValidHome({
        guarantee: each.guarantee,
        parts: home.parts,
        state,
      });
    if (!isValid) return false;
    assignParts({ state, team: each.team, parts: home.parts });
    placed.set(each, home.parts);
    byKey.delete(instanceKey(home));
    return true;
  };
  for (const each of instances) keep(each, byKey.get(instanceKey(each)));
  const remaining = new Map<TeamName, Home[]>();
  for (const home of byKey.values()) {
    remaining.set(home.team, [...remaining.get(home.team) ?? [], home]);
  }
  for (const each of instances) {
    if (placed.has(each)) continue;
    const homes = remaining.get(each.team) ?? [];
    const index = homes.findIndex((home) => keep(each, home));
    if (index >= 0) homes.splice(index, 1);
  }
  return placed;
}

/** Returns a key that identifies an instance of a shape. */
function instanceKey(home: { team: string; shape: number; instance: number }) {
  return `${home.team}\n${home.shape}\n${home.instance}`;
}
