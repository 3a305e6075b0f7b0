/**
 * Placement of gangs.
 *
 * @module
 */

import { err, ok } from "neverthrow";
import type { Result } from "neverthrow";
import type { JobSpec, RunId, WorkerId } from "@dragonflyledge/model";
import { buildPlan } from "./build_plan.ts";
import {
  AccessLevel,
  listAccessLevels,
  listMemberPlacements,
} from "./list_slots.ts";
import type { Gang } from "./list_slots.ts";
import { packGang } from "./pack.ts";
import type { WorkerPlacements } from "./pack.ts";
import type {
  HomeIndex,
  PlacementFailure,
  PlacementPlan,
  WorkerView,
} from "./worker_view.ts";

const levelLimits: readonly AccessLevel[] = [
  AccessLevel.OwnFree,
  AccessLevel.OwnReclaimed,
  AccessLevel.Unassigned,
  AccessLevel.Borrowed,
  AccessLevel.Preempted,
];

/**
 * Chooses workers and accelerators for all members of a gang: own homes, then
 * unassigned capacity, then homes of other teams if the gang is revocable,
 * then, for urgent gangs, capacity of deferrable revocable work.
 */
export function placeGang(fields: {
  spec: JobSpec;
  run: RunId;
  /** Whether the class of the gang is urgent. */
  urgent: boolean;
  workers: Iterable<WorkerView>;
  homes: HomeIndex;
  excluded?: ReadonlySet<WorkerId>;
  /** Work of a whole gang that is lost if it is stopped. */
  lostWork?: (run: RunId) => number;
  /** Skips the search on idle workers; the answer is never `never` then. */
  knownToFit?: boolean;
}): Result<PlacementPlan, PlacementFailure> {
  const { spec, run, urgent, homes, excluded } = fields;
  const gang = { spec, urgent };
  const lostWork = fields.lostWork ?? (() => 0);
  const workers = [...fields.workers];
  const candidates = workers.filter((view) =>
    view.available && !excluded?.has(view.inventory.worker)
  );
  const levels = candidates.map((view) =>
    listAccessLevels({ view, homes, gang, idle: false })
  );
  const present = new Set<AccessLevel>(levels.flatMap((found) => found.levels));
  // Members without accelerators fit at any level alike.
  if (spec.perMember.accelerators === 0) present.clear();
  let found = 0;
  for (const limit of levelLimits) {
    if (limit !== AccessLevel.OwnFree && !present.has(limit)) continue;
    const slots = candidates.map((view, index) =>
      listWorkerPlacements(view, levels[index], gang, limit, false)
    );
    const packing = packGang({ spec, workers: slots, lostWork });
    if (packing.isOk()) {
      return ok(buildPlan({
        run,
        packing: packing.value,
        needs: spec.perMember,
      }));
    }
    found = Math.max(found, packing.error);
  }
  if (!fields.knownToFit && !fitsOnIdleWorkers(workers, homes, gang)) {
    return err({
      kind: "never",
      reason: `${describeGang(spec)} fits no worker`,
    });
  }
  const reason = `${describeGang(spec)}; ${found} of ${spec.members} fit now`;
  return err({ kind: "not-now", reason });
}

/** Whether the gang would fit if every known worker were idle. */
function fitsOnIdleWorkers(
  workers: WorkerView[],
  homes: HomeIndex,
  gang: Gang,
) {
  const slots = workers.map((view) => {
    const levels = listAccessLevels({ view, homes, gang, idle: true });
    return listWorkerPlacements(
      view,
      levels,
      gang,
      AccessLevel.Preempted,
      true,
    );
  });
  return packGang({ spec: gang.spec, workers: slots, lostWork: () => 0 })
    .isOk();
}

function listWorkerPlacements(
  view: WorkerView,
  found: ReturnType<typeof listAccessLevels> | undefined,
  gang: Gang,
  limit: AccessLevel,
  idle: boolean,
): WorkerPlacements {
  const levels = found?.levels ?? [];
  const holders = found?.holders ?? [];
  const { spec } = gang;
  const most = spec.members;
  const usable = levels.filter((level) => level <= limit).length;
  const slots = usable < spec.perMember.accelerators
    ? []
    : listMemberPlacements({
      view,
      levels,
      holders,
      spec,
      limit,
      maxCount: most,
      idle,
    });
  return { view, usableCount: usable, placements: slots };
}

function describeGang(spec: JobSpec): string {
  const { accelerators, cores, memoryMiB } = spec.perMember;
  const where = spec.adjacency === "rack" ? " in one rack" : "";
  return `${spec.members} members with ${accelerators} accelerators, ` +
    `${cores} cores and ${memoryMiB} MiB each${where}`;
}
