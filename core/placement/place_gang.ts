/**
 * Places gangs on workers.
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

/** The highest access level of each attempt to place a gang, in order. */
const levelLimits: readonly AccessLevel[] = [
  AccessLevel.OwnFree,
  AccessLevel.OwnReclaimed,
  AccessLevel.Unassigned,
  AccessLevel.Borrowed,
  AccessLevel.Preempted,
];

/**
 * Chooses workers and accelerators for all members of a gang. It prefers the
 * homes of the gang's team, free ones before those to be reclaimed, then
 * accelerators without a home, then homes of other teams if the gang is
 * revocable, and last, if the gang is urgent, accelerators without a home that
 * deferrable revocable gangs hold. Homes of other teams are never preempted.
 */
export function placeGang(fields: {
  spec: JobSpec;
  run: RunId;
  /** Whether the class of the gang is urgent. */
  urgent: boolean;
  workers: Iterable<WorkerView>;
  homes: HomeIndex;
  /** Workers that must not be used. */
  excluded?: ReadonlySet<WorkerId>;
  /**
   * Work that is lost if the whole gang is stopped, in
   * accelerator-milliseconds. 0 for every gang by default.
   */
  lostWork?: (run: RunId) => number;
  /**
   * Whether the gang is known to fit on idle workers. This saves the search that
   * tells failures of kind `never` from `not-now`: all are `not-now` then.
   */
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
  const present = new Set<AccessLevel>(levels.flatMap((each) => each.levels));
  // Members without accelerators fit equally at every level, so the first limit
  // is enough.
  if (spec.perMember.accelerators === 0) present.clear();
  let fitting = 0;
  for (const limit of levelLimits) {
    if (limit !== AccessLevel.OwnFree && !present.has(limit)) continue;
    const placements = candidates.map((view, index) =>
      listWorkerPlacements(view, levels[index], gang, limit, false)
    );
    const packing = packGang({ spec, workers: placements, lostWork });
    if (packing.isOk()) {
      return ok(buildPlan({
        run,
        packing: packing.value,
        needs: spec.perMember,
      }));
    }
    fitting = Math.max(fitting, packing.error);
  }
  if (!fields.knownToFit && !fitsOnIdleWorkers(workers, homes, gang)) {
    return err({
      kind: "never",
      reason: `${describeGang(spec)} fits no worker`,
    });
  }
  const reason = `${describeGang(spec)}; ${fitting} of ${spec.members} fit now`;
  return err({ kind: "not-now", reason });
}

/**
 * Whether the gang would fit if all known workers were idle, excluded and
 * unavailable ones included.
 */
function fitsOnIdleWorkers(
  workers: WorkerView[],
  homes: HomeIndex,
  gang: Gang,
) {
  const placements = workers.map((view) => {
    const levels = listAccessLevels({ view, homes, gang, idle: true });
    return listWorkerPlacements(
      view,
      levels,
      gang,
      AccessLevel.Preempted,
      true,
    );
  });
  return packGang({ spec: gang.spec, workers: placements, lostWork: () => 0 })
    .isOk();
}

/** Lists the placements on the worker at access levels up to `limit`. */
function listWorkerPlacements(
  view: WorkerView,
  access: ReturnType<typeof listAccessLevels> | undefined,
  gang: Gang,
  limit: AccessLevel,
  idle: boolean,
): WorkerPlacements {
  const levels = access?.levels ?? [];
  const holders = access?.holders ?? [];
  const { spec } = gang;
  const maxCount = spec.members;
  const usableCount = levels.filter((level) => level <= limit).length;
  const placements = usableCount < spec.perMember.accelerators
    ? []
    : listMemberPlacements({
      view,
      levels,
      holders,
      spec,
      limit,
      maxCount,
      idle,
    });
  return { view, usableCount, placements };
}

/** Describes what the gang needs, for reasons that people read. */
function describeGang(spec: JobSpec): string {
  const { accelerators, cores, memoryMiB } = spec.perMember;
  const where = spec.adjacency === "rack" ? " in one rack" : "";
  return `${spec.members} members with ${accelerators} accelerators, ` +
    `${cores} cores and ${memoryMiB} MiB each${where}`;
}
