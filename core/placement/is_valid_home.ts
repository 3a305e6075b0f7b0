/**
 * Check of a home against its shape.
 *
 * @module
 */

import type { HomePart, Shape } from "@dragonflyledge/model";
import { isAlignedBlock } from "./find_block.ts";
import type { Space } from "./find_parts.ts";

/** Whether the parts satisfy the shape and are free. */
export function isValidHome(fields: {
  guarantee: Shape;
  parts: HomePart[];
  space: Space;
}): boolean {
  const { guarantee, parts, space } = fields;
  const racks = new Set<string>();
  let total = 0;
  for (const part of parts) {
    const worker = space.workers.get(part.worker);
    if (worker === undefined) return false;
    if (!part.accelerators.every((index) => worker.free[index])) return false;
    const { region, failureDomain, rack } = worker.inventory.location;
    racks.add(`${region}\n${failureDomain}\n${rack}`);
    total += part.accelerators.length;
  }
  if (total !== guarantee.accelerators) return false;
  if (guarantee.adjacency === "any") return true;
  if (guarantee.adjacency === "rack") return racks.size === 1;
  const partial = parts.filter((part) =>
    part.accelerators.length <
      (space.workers.get(part.worker)?.free.length ?? 0)
  );
  return partial.length <= 1 &&
    partial.every((part) => isAlignedBlock(part.accelerators)) &&
    (parts.length === 1 || partial.length === 0 ||
      guarantee.accelerators > largestWorker(space));
}

function largestWorker(space: Space): number {
  let largest = 0;
  for (const worker of space.workers.values()) {
    largest = Math.max(largest, worker.free.length);
  }
  return largest;
}
