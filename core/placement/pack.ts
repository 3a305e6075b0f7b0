/**
 * Choice among the places of all workers.
 *
 * @module
 */

import { err, ok } from "neverthrow";
import type { Result } from "neverthrow";
import type { JobSpec, RunId } from "@dragonflyledge/model";
import { chooseVictims } from "./choose_victims.ts";
import type { Slot } from "./list_slots.ts";
import type { WorkerView } from "./worker_view.ts";

/** Places of one worker. */
export interface WorkerSlots {
  view: WorkerView;
  /** Accelerators that the gang may use here. */
  usable: number;
  slots: Slot[];
}

/** Places of all members, and the gangs that are stopped for them. */
export interface Packing {
  slots: Slot[];
  victims: RunId[];
  loss: number;
}

/** Picks a place for each member, or tells how many members have one. */
export function pack(fields: {
  spec: JobSpec;
  workers: WorkerSlots[];
  lostWork: (run: RunId) => number;
}): Result<Packing, number> {
  const { spec, workers, lostWork } = fields;
  const racks = groupByRack(workers);
  if (spec.adjacency !== "rack") {
    return packGroup(workers, racks, spec.members, lostWork);
  }
  let best: { packing: Packing; usable: number } | undefined;
  let most = 0;
  for (const rack of racks.values()) {
    const packing = packGroup(rack.workers, racks, spec.members, lostWork);
    if (packing.isErr()) {
      most = Math.max(most, packing.error);
      continue;
    }
    const { loss } = packing.value;
    const better = best === undefined || loss < best.packing.loss ||
      (loss === best.packing.loss && rack.usable < best.usable);
    if (better) best = { packing: packing.value, usable: rack.usable };
  }
  return best === undefined ? err(most) : ok(best.packing);
}

interface Rack {
  workers: WorkerSlots[];
  usable: number;
}

function rackKey(view: WorkerView): string {
  const { region, failureDomain, rack } = view.inventory.location;
  return `${region}\n${failureDomain}\n${rack}`;
}

function groupByRack(workers: WorkerSlots[]): Map<string, Rack> {
  const racks = new Map<string, Rack>();
  for (const worker of workers) {
    const key = rackKey(worker.view);
    const rack = racks.get(key) ?? { workers: [], usable: 0 };
    rack.workers.push(worker);
    rack.usable += worker.usable;
    racks.set(key, rack);
  }
  return racks;
}

/**
 * Best fit: partly used workers before whole ones, and whole workers of the
 * racks with the least usable capacity first.
 */
function packGroup(
  group: WorkerSlots[],
  racks: Map<string, Rack>,
  needed: number,
  lostWork: (run: RunId) => number,
): Result<Packing, number> {
  const count = group.reduce((sum, worker) => sum + worker.slots.length, 0);
  if (count < needed) return err(count);
  const ranked = group.filter((worker) => worker.slots.length > 0).map(
    (worker) => {
      const whole = worker.usable === worker.view.inventory.capacity
        .accelerators;
      const rack = racks.get(rackKey(worker.view))?.usable ?? 0;
      return { worker, key: [whole ? 1 : 0, whole ? rack : worker.usable] };
    },
  );
  ranked.sort((a, b) =>
    (a.key[0] ?? 0) - (b.key[0] ?? 0) || (a.key[1] ?? 0) - (b.key[1] ?? 0) ||
    (a.worker.view.inventory.worker < b.worker.view.inventory.worker ? -1 : 1)
  );
  const options = ranked.flatMap(({ worker }) => worker.slots);
  options.forEach((option, rank) => option.rank = rank);
  if (options.every((option) => option.runs.length === 0)) {
    return ok({ slots: options.slice(0, needed), victims: [], loss: 0 });
  }
  const { chosen, victims, loss } = chooseVictims({
    needed,
    options,
    lostWork,
  });
  return ok({ slots: chosen, victims, loss });
}
