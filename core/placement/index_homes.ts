/**
 * Builds the index from accelerators to the teams that own them.
 *
 * @module
 */

import type { HomesTable, TeamName, WorkerId } from "@dragonflyledge/model";
import type { HomeIndex } from "./worker_view.ts";

/** Returns the owner of each accelerator in a home; empty without a table. */
export function indexHomes(fields: { homes?: HomesTable }): HomeIndex {
  const index = new Map<WorkerId, (TeamName | undefined)[]>();
  for (const home of fields.homes?.homes ?? []) {
    for (const part of home.parts) {
      const owners = index.get(part.worker) ?? [];
      for (const accelerator of part.accelerators) {
        owners[accelerator] = home.team;
      }
      index.set(part.worker, owners);
    }
  }
  return index;
}
