/**
 * Lookup of the team to whose home an accelerator of a worker belongs.
 *
 * @module
 */

import type { HomesTable, TeamName, WorkerId } from "@dragonflyledge/model";

/** Owners of the accelerators of one worker. */
export interface LocalHomes {
  /** Whether there is a homes table. */
  known: boolean;
  /** Team to whose home the accelerator belongs; `undefined` if to none. */
  teamOf(accelerator: number): TeamName | undefined;
}

/** Homes by worker, for each table that is still referred to. */
const cache = new WeakMap<HomesTable, Map<WorkerId, LocalHomes>>();

/** Returns the homes on one worker. The result is cached for each table. */
export function getLocalHomes(fields: {
  homes: HomesTable | undefined;
  worker: WorkerId;
}): LocalHomes {
  const { homes, worker } = fields;
  if (homes === undefined) return { known: false, teamOf: () => undefined };
  const byWorker = cache.get(homes) ?? new Map<WorkerId, LocalHomes>();
  cache.set(homes, byWorker);
  const found = byWorker.get(worker) ?? readHomes(homes, worker);
  byWorker.set(worker, found);
  return found;
}

function readHomes(homes: HomesTable, worker: WorkerId): LocalHomes {
  const teams = new Map<number, TeamName>();
  for (const home of homes.homes) {
    for (const part of home.parts) {
      if (part.worker !== worker) continue;
      for (const one of part.accelerators) teams.set(one, home.team);
    }
  }
  return { known: true, teamOf: (accelerator) => teams.get(accelerator) };
}
