/**
 * Assignment of guaranteed shapes to accelerators.
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

/** One instance of a guaranteed shape. */
interface ShapeInstance {
  team: TeamName;
  shape: number;
  instance: number;
  guarantee: Shape;
}

/**
 * Computes the homes table. Equal input gives an equal table. Homes of
 * `previous` that are still valid stay, unless moving smaller ones makes room
 * for a shape that would otherwise have no home.
 */
export function assignHomes(fields: {
  configuration: Configuration;
  inventories: Iterable<Inventory>;
  previous?: HomesTable;
  version: number;
}): HomesTable {
  const { configuration, previous, version } = fields;
  const needs = listShapeInstances(configuration);
  const inventories = [...fields.inventories].sort((a, b) =>
    a.worker < b.worker ? -1 : 1
  );
  const former = previous?.homes ?? [];
  let result = assignInstances(needs, inventories, former);
  if (result.unplaced.length > 0 && former.length > 0) {
    const size = Math.max(
      ...result.unplaced.map((need) => need.guarantee.accelerators),
    );
    const large = former.filter((home) =>
      countAccelerators(home.parts) >= size
    );
    const moved = assignInstances(needs, inventories, large);
    if (sumGuaranteed(moved.unplaced) < sumGuaranteed(result.unplaced)) {
      result = moved;
    }
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

function sumGuaranteed(needs: ShapeInstance[]): number {
  return needs.reduce((sum, need) => sum + need.guarantee.accelerators, 0);
}

function countAccelerators(parts: HomePart[]): number {
  return parts.reduce((sum, part) => sum + part.accelerators.length, 0);
}

/** Largest shapes first, since they need the largest free blocks. */
function listShapeInstances(configuration: Configuration): ShapeInstance[] {
  const needs: ShapeInstance[] = [];
  for (const { name: team, guarantees } of configuration.teams) {
    guarantees.forEach((guarantee, shape) => {
      if (guarantee.accelerators <= 0) return;
      for (let instance = 0; instance < guarantee.count; instance++) {
        needs.push({ team, shape, instance, guarantee });
      }
    });
  }
  return needs.sort((a, b) =>
    b.guarantee.accelerators - a.guarantee.accelerators ||
    a.instance - b.instance ||
    (a.team < b.team ? -1 : a.team > b.team ? 1 : a.shape - b.shape)
  );
}

function assignInstances(
  needs: ShapeInstance[],
  inventories: Inventory[],
  former: Home[],
) {
  const space: AssignmentState = {
    workers: new Map(),
    teamAccelerators: new Map(),
  };
  for (const inventory of inventories) {
    const free = Array<boolean>(inventory.capacity.accelerators).fill(true);
    space.workers.set(inventory.worker, { inventory, unassigned: free });
  }
  const placed = keepValidHomes(needs, former, space);
  const unplaced: ShapeInstance[] = [];
  for (const need of needs) {
    if (placed.has(need)) continue;
    const parts = findHomeParts({ ...need, state: space });
    if (parts === undefined) {
      unplaced.push(need);
      continue;
    }
    assignParts({ state: space, team: need.team, parts });
    placed.set(need, parts);
  }
  const homes = needs.flatMap((need) => {
    const { team, shape, instance } = need;
    const parts = placed.get(need);
    return parts === undefined ? [] : [{ team, shape, instance, parts }];
  });
  return { homes, unplaced };
}

/** First the same instance, then any home of the team with a fitting shape. */
function keepValidHomes(
  needs: ShapeInstance[],
  former: Home[],
  space: AssignmentState,
) {
  const placed = new Map<ShapeInstance, HomePart[]>();
  const byKey = new Map(former.map((home) => [instanceKey(home), home]));
  const keep = (need: ShapeInstance, home: Home | undefined): boolean => {
    const valid = home !== undefined &&
      isValidHome({
        guarantee: need.guarantee,
        parts: home.parts,
        state: space,
      });
    if (!valid) return false;
    assignParts({ state: space, team: need.team, parts: home.parts });
    placed.set(need, home.parts);
    byKey.delete(instanceKey(home));
    return true;
  };
  for (const need of needs) keep(need, byKey.get(instanceKey(need)));
  const left = new Map<TeamName, Home[]>();
  for (const home of byKey.values()) {
    left.set(home.team, [...left.get(home.team) ?? [], home]);
  }
  for (const need of needs) {
    if (placed.has(need)) continue;
    const homes = left.get(need.team) ?? [];
    const index = homes.findIndex((home) => keep(need, home));
    if (index >= 0) homes.splice(index, 1);
  }
  return placed;
}

function instanceKey(home: { team: string; shape: number; instance: number }) {
  return `${home.team}\n${home.shape}\n${home.instance}`;
}
