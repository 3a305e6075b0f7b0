/**
 * Which team each accelerator of this worker is home to.
 *
 * @module
 */

import type { HomesTable, TeamName, WorkerId } from "@dragonflyledge/model";

/** Team of each accelerator of one worker; nothing if the table is unknown. */
export interface LocalHomes {
  known: boolean;
  teamOf(accelerator: number): TeamName | undefined;
}

const cache = new WeakMap<HomesTable, Map<WorkerId, LocalHomes>>();

/** Reads the homes on one worker from the table. */
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
