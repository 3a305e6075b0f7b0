/**
 * Plan of a gang from the places of its members.
 *
 * @module
 */

import { assertInvariant, Invariant } from "@dragonflyledge/model";
import type { RunId } from "@dragonflyledge/model";
import type { Packing } from "./pack.ts";
import type { Plan, PlannedWorker } from "./worker_view.ts";

/** Numbers the members and groups them by worker. */
export function buildPlan(fields: { run: RunId; packing: Packing }): Plan {
  const { run, packing } = fields;
  const workers = new Map<string, PlannedWorker>();
  packing.slots.forEach((slot, member) => {
    const { worker, capacity } = slot.view.inventory;
    const planned = workers.get(worker) ??
      { worker, members: [], reclaims: false };
    planned.members.push({ member, accelerators: slot.accelerators });
    if (slot.runs.length > 0) planned.reclaims = true;
    workers.set(worker, planned);
    assertWithin(planned, capacity.accelerators);
  });
  const sorted = [...workers.values()].sort((a, b) =>
    a.worker < b.worker ? -1 : 1
  );
  return { run, workers: sorted, victims: packing.victims };
}

function assertWithin(planned: PlannedWorker, accelerators: number): void {
  const used = planned.members.flatMap((member) => member.accelerators);
  assertInvariant({
    invariant: Invariant.WithinCapacity,
    holds: new Set(used).size === used.length &&
      used.every((index) => index < accelerators),
    step: "place",
    peer: planned.worker,
    detail: `accelerators ${used.join(",")} of ${accelerators}`,
  });
}
