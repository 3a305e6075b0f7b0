/**
 * Checks whether a home satisfies its shape.
 *
 * @module
 */

import type { HomePart, Shape } from "@dragonflyledge/model";
import { isAlignedBlock } from "./find_block.ts";
import type { AssignmentState } from "./find_parts.ts";

/**
 * Whether the parts satisfy the shape and belong to no other home in the state.
 * With adjacency `worker`, at most one part may cover less than its worker, as
 * an aligned block, and it may be joined with other parts only if the shape is
 * larger than every worker.
 */
export function isValidHome(fields: {
  guarantee: Shape;
  parts: HomePart[];
  state: AssignmentState;
}): boolean {
  const { guarantee, parts, state } = fields;
  const racks = new Set<string>();
  let total = 0;
  for (const part of parts) {
    const worker = state.workers.get(part.worker);
    if (worker === undefined) return false;
    if (!part.accelerators.every((i) => worker.unassigned[i])) return false;
    const { region, failureDomain, rack } = worker.inventory.location;
    racks.add(`${region}\n${failureDomain}\n${rack}`);
    total += part.accelerators.length;
  }
  if (total !== guarantee.accelerators) return false;
  if (guarantee.adjacency === "any") return true;
  if (guarantee.adjacency === "rack") return racks.size === 1;
  const partial = parts.filter((part) =>
    part.accelerators.length <
      (state.workers.get(part.worker)?.unassigned.length ?? 0)
  );
  return partial.length <= 1 &&
    partial.every((part) => isAlignedBlock(part.accelerators)) &&
    (parts.length === 1 || partial.length === 0 ||
      guarantee.accelerators > countOfLargestWorker(state));
}

/** Returns the number of accelerators of the largest worker. */
function countOfLargestWorker(state: AssignmentState): number {
  let largest = 0;
  for (const worker of state.workers.values()) {
    largest = Math.max(largest, worker.unassigned.length);
  }
  return largest;
}
