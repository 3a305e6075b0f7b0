/**
 * Chooses among the possible placements on all workers.
 *
 * @module
 */

import { err, ok } from "neverthrow";
import type { Result } from "neverthrow";
import type { JobSpec, RunId } from "@dragonflyledge/model";
import { chooseVictims } from "./choose_victims.ts";
import type { MemberPlacement } from "./list_slots.ts";
import type { WorkerView } from "./worker_view.ts";

/** The possible placements on one worker. */
export interface WorkerPlacements {
  view: WorkerView;
  /** Number of accelerators of the worker that the gang may use. */
  usableCount: number;
  placements: MemberPlacement[];
}

/** Placements for all members, and the gangs that are stopped for them. */
export interface Packing {
  placements: MemberPlacement[];
  victims: RunId[];
  /** Lost work of all victims; see `chooseVictims`. */
  loss: number;
}

/**
 * Chooses a placement for each member. If there are too few, the error is the
 * largest number of members that fit, within one rack if the gang needs that.
 * Among racks, the one with the least lost work wins, then the one with the
 * fewest usable accelerators.
 */
export function packGang(fields: {
  spec: JobSpec;
  workers: WorkerPlacements[];
  /** Work of the whole gang that is lost, in accelerator-milliseconds. */
  lostWork: (run: RunId) => number;
}): Result<Packing, number> {
  const { spec, workers, lostWork } = fields;
  const racks = groupByRack(workers);
  if (spec.adjacency !== "rack") {
    return packOnWorkers(workers, racks, spec.members, lostWork);
  }
  let best: { packing: Packing; usable: number } | undefined;
  let maxFitting = 0;
  for (const rack of racks.values()) {
    const packing = packOnWorkers(rack.workers, racks, spec.members, lostWork);
    if (packing.isErr()) {
      maxFitting = Math.max(maxFitting, packing.error);
      continue;
    }
    const { loss } = packing.value;
    const isBetter = best === undefined || loss < best.packing.loss ||
      (loss === best.packing.loss && rack.usableCount < best.usable);
    if (isBetter) best = { packing: packing.value, usable: rack.usableCount };
  }
  return best === undefined ? err(maxFitting) : ok(best.packing);
}

/** The workers of one rack. */
interface Rack {
  workers: WorkerPlacements[];
  /** Sum over the workers. */
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
 * Chooses `needed` placements on the workers by best fit, or fails with the
 * number of possible placements. Workers of which only a part is usable come
 * first, those with the fewest usable accelerators before others. Whole workers
 * follow, from the racks with the fewest usable accelerators first. Where gangs
 * have to be stopped, the least lost work comes before this order.
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
      const isWhole = worker.usableCount === worker.view.inventory.capacity
        .accelerators;
      const usableInRack = racks.get(rackKey(worker.view))?.usableCount ?? 0;
      return {
        worker,
        key: [isWhole ? 1 : 0, isWhole ? usableInRack : worker.usableCount],
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
