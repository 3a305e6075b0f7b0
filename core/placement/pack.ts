/**
 * Choice among the places of all workers.
 *
 * @module
 */

import { err, ok } from "neverthrow";
import type { Result } from "neverthrow";
import type { JobSpec, RunId } from "@dragonflyledge/model";
import { chooseVictims } from "./choose_victims.ts";
import type { MemberPlacement } from "./list_slots.ts";
import type { WorkerView } from "./worker_view.ts";

/** Places of one worker. */
export interface WorkerPlacements {
  view: WorkerView;
  /** Accelerators that the gang may use here. */
  usableCount: number;
  placements: MemberPlacement[];
}

/** Places of all members, and the gangs that are stopped for them. */
export interface Packing {
  placements: MemberPlacement[];
  victims: RunId[];
  loss: number;
}

/** Picks a place for each member, or tells how many members have one. */
export function packGang(fields: {
  spec: JobSpec;
  workers: WorkerPlacements[];
  lostWork: (run: RunId) => number;
}): Result<Packing, number> {
  const { spec, workers, lostWork } = fields;
  const racks = groupByRack(workers);
  if (spec.adjacency !== "rack") {
    return packOnWorkers(workers, racks, spec.members, lostWork);
  }
  let best: { packing: Packing; usable: number } | undefined;
  let most = 0;
  for (const rack of racks.values()) {
    const packing = packOnWorkers(rack.workers, racks, spec.members, lostWork);
    if (packing.isErr()) {
      most = Math.max(most, packing.error);
      continue;
    }
    const { loss } = packing.value;
    const better = best === undefined || loss < best.packing.loss ||
      (loss === best.packing.loss && rack.usableCount < best.usable);
    if (better) best = { packing: packing.value, usable: rack.usableCount };
  }
  return best === undefined ? err(most) : ok(best.packing);
}

interface Rack {
  workers: WorkerPlacements[];
  usableCount: number;
}

function rackKey(view: WorkerView): string {
  const { region, failureDomain, rack } = view.inventory.location;
  return `${region}\n${failureDomain}\n${rack}`;
}

function groupByRack(workers: WorkerPlacements[]): Map<string, Rack> {
  const racks = new Map<string, Rack>();
  for (const worker of workers) {
    const key = rackKey(worker.view);
    const rack = racks.get(key) ?? { workers: [], usableCount: 0 };
    rack.workers.push(worker);
    rack.usableCount += worker.usableCount;
    racks.set(key, rack);
  }
  return racks;
}

/**
 * Best fit: partly used workers before whole ones, and whole workers of the
 * racks with the least usable capacity first.
 */
function packOnWorkers(
  group: WorkerPlacements[],
  racks: Map<string, Rack>,
  needed: number,
  lostWork: (run: RunId) => number,
): Result<Packing, number> {
  const count = group.reduce(
    (sum, worker) => sum + worker.placements.length,
    0,
  );
  if (count < needed) return err(count);
  const ranked = group.filter((worker) => worker.placements.length > 0).map(
    (worker) => {
      const whole = worker.usableCount === worker.view.inventory.capacity
        .accelerators;
      const rack = racks.get(rackKey(worker.view))?.usableCount ?? 0;
      return {
        worker,
        key: [whole ? 1 : 0, whole ? rack : worker.usableCount],
      };
    },
  );
  ranked.sort((a, b) =>
    (a.key[0] ?? 0) - (b.key[0] ?? 0) || (a.key[1] ?? 0) - (b.key[1] ?? 0) ||
    (a.worker.view.inventory.worker < b.worker.view.inventory.worker ? -1 : 1)
  );
  const options = ranked.flatMap(({ worker }) => worker.placements);
  options.forEach((option, rank) => option.rank = rank);
  if (options.every((option) => option.victims.length === 0)) {
    return ok({ placements: options.slice(0, needed), victims: [], loss: 0 });
  }
  const { chosen, victims, loss } = chooseVictims({
    needed,
    options,
    lostWork,
  });
  return ok({ placements: chosen, victims, loss });
}
