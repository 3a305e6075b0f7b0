/**
 * Placement of gangs.
 *
 * @module
 */

import { err, ok } from "neverthrow";
import type { Result } from "neverthrow";
import type { JobSpec, RunId, WorkerId } from "@dragonflyledge/model";
import { buildPlan } from "./build_plan.ts";
import { Level, listLevels, listSlots } from "./list_slots.ts";
import type { Gang } from "./list_slots.ts";
import { pack } from "./pack.ts";
import type { WorkerSlots } from "./pack.ts";
import type { HomeIndex, NoPlace, Plan, WorkerView } from "./worker_view.ts";

const tiers: readonly Level[] = [
  Level.OwnFree,
  Level.OwnReclaimed,
  Level.Unassigned,
  Level.Borrowed,
  Level.Preempted,
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
}): Result<Plan, NoPlace> {
  const { spec, run, urgent, homes, excluded } = fields;
  const gang = { spec, urgent };
  const lostWork = fields.lostWork ?? (() => 0);
  const workers = [...fields.workers];
  const candidates = workers.filter((view) =>
    view.available && !excluded?.has(view.inventory.worker)
  );
  const levels = candidates.map((view) =>
    listLevels({ view, homes, gang, idle: false })
  );
  const present = new Set<Level>(levels.flatMap((found) => found.levels));
  // Members without accelerators fit at any level alike.
  if (spec.perMember.accelerators === 0) present.clear();
  let found = 0;
  for (const limit of tiers) {
    if (limit !== Level.OwnFree && !present.has(limit)) continue;
    const slots = candidates.map((view, index) =>
      slotsOf(view, levels[index], gang, limit, false)
    );
    const packing = pack({ spec, workers: slots, lostWork });
    if (packing.isOk()) {
      return ok(buildPlan({
        run,
        packing: packing.value,
        needs: spec.perMember,
      }));
    }
    found = Math.max(found, packing.error);
  }
  if (!fields.knownToFit && !fitsIdle(workers, homes, gang)) {
    return err({ kind: "never", reason: `${describe(spec)} fits no worker` });
  }
  const reason = `${describe(spec)}; ${found} of ${spec.members} fit now`;
  return err({ kind: "not-now", reason });
}

/** Whether the gang would fit if every known worker were idle. */
function fitsIdle(workers: WorkerView[], homes: HomeIndex, gang: Gang) {
  const slots = workers.map((view) => {
    const levels = listLevels({ view, homes, gang, idle: true });
    return slotsOf(view, levels, gang, Level.Preempted, true);
  });
  return pack({ spec: gang.spec, workers: slots, lostWork: () => 0 }).isOk();
}

function slotsOf(
  view: WorkerView,
  found: ReturnType<typeof listLevels> | undefined,
  gang: Gang,
  limit: Level,
  idle: boolean,
): WorkerSlots {
  const levels = found?.levels ?? [];
  const holders = found?.holders ?? [];
  const { spec } = gang;
  const most = spec.members;
  const usable = levels.filter((level) => level <= limit).length;
  const slots = usable < spec.perMember.accelerators
    ? []
    : listSlots({ view, levels, holders, spec, limit, most, idle });
  return { view, usable, slots };
}

function describe(spec: JobSpec): string {
  const { accelerators, cores, memoryMiB } = spec.perMember;
  const where = spec.adjacency === "rack" ? " in one rack" : "";
  return `${spec.members} members with ${accelerators} accelerators, ` +
    `${cores} cores and ${memoryMiB} MiB each${where}`;
}
