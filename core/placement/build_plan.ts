/**
 * Builds the plan of a gang from the placements of its members.
 *
 * @module
 */

import { assertInvariant, Invariant } from "@dragonflyledge/model";
import type { Resources, RunId } from "@dragonflyledge/model";
import type { Packing } from "./pack.ts";
import type { PlacementPlan, PlannedWorker } from "./worker_view.ts";

/**
 * Numbers the members in the order of their placements and groups them by
 * worker. Throws if they exceed the capacity of a worker, which is a defect.
 */
export function buildPlan(fields: {
  run: RunId;
  packing: Packing;
  /** Resources that each member needs. */
  needs: Resources;
}): PlacementPlan {
  const { run, packing, needs } = fields;
  const workers = new Map<string, PlannedWorker>();
  packing.placements.forEach((placement, member) => {
    const { worker, capacity } = placement.view.inventory;
    const planned = workers.get(worker) ??
      { worker, members: [], reclaims: false };
    planned.members.push({ member, accelerators: placement.accelerators });
    if (placement.victims.length > 0) planned.reclaims = true;
    workers.set(worker, planned);
    assertWithinCapacity(planned, needs, capacity);
  });
  const sorted = [...workers.values()].sort((a, b) =>
    a.worker < b.worker ? -1 : 1
  );
  return { run, workers: sorted, victims: packing.victims };
}

/** Asserts that the members fit on the worker and share no accelerator. */
function assertWithinCapacity(
  planned: PlannedWorker,
  needs: Resources,
  capacity: Resources,
): void {
  const used = planned.members.flatMap((member) => member.accelerators);
  const count = planned.members.length;
  assertInvariant({
    invariant: Invariant.WithinCapacity,
    holds: new Set(used).size === used.length &&
      used.length === count * needs.accelerators &&
      used.every((index) => index < capacity.accelerators) &&
      count * needs.cores <= capacity.cores &&
      count * needs.memoryMiB <= capacity.memoryMiB,
    step: "place",
    peer: planned.worker,
    detail: `${count} members on accelerators ${used.join(",")}`,
  });
}
