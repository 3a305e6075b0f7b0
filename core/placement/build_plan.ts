/**
 * Plan of a gang from the places of its members.
 *
 * @module
 */

import { assertInvariant, Invariant } from "@dragonflyledge/model";
import type { Resources, RunId } from "@dragonflyledge/model";
import type { Packing } from "./pack.ts";
import type { PlacementPlan, PlannedWorker } from "./worker_view.ts";

/** Numbers the members and groups them by worker. */
export function buildPlan(fields: {
  run: RunId;
  packing: Packing;
  /** Needs of each member. */
  needs: Resources;
}): PlacementPlan {
  const { run, packing, needs } = fields;
  const workers = new Map<string, PlannedWorker>();
  packing.placements.forEach((slot, member) => {
    const { worker, capacity } = slot.view.inventory;
    const planned = workers.get(worker) ??
      { worker, members: [], reclaims: false };
    planned.members.push({ member, accelerators: slot.accelerators });
    if (slot.victims.length > 0) planned.reclaims = true;
    workers.set(worker, planned);
    assertWithinCapacity(planned, needs, capacity);
  });
  const sorted = [...workers.values()].sort((a, b) =>
    a.worker < b.worker ? -1 : 1
  );
  return { run, workers: sorted, victims: packing.victims };
}

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
