/**
 * State of the computation of homes.
 *
 * @module
 */

import type { HomesTable, Milliseconds, WorkerId } from "@dragonflyledge/model";

/** What an entry needs to know to decide when it computes homes again. */
export interface HomesState {
  /** Time of the first event; undefined before it. */
  startedAt: Milliseconds | undefined;
  /** Whether the workers, the configuration or the table may have changed. */
  dirty: boolean;
  /** Homes are not computed before this time. */
  notBefore: Milliseconds;
  /** Times, in ascending order, from which lost workers no longer get homes. */
  removalTimes: Milliseconds[];
  /** Workers that have reported that they are leaving. */
  leavingWorkers: Set<WorkerId>;
  /** The table that was current when homes were last computed. */
  checkedTable: HomesTable | undefined;
  /** The table whose write to the store has not been answered yet. */
  pendingTable: HomesTable | undefined;
}

/** Creates the state of an entry that has just started. */
export function createHomesState(): HomesState {
  return {
    startedAt: undefined,
    dirty: true,
    notBefore: 0,
    removalTimes: [],
    leavingWorkers: new Set(),
    checkedTable: undefined,
    pendingTable: undefined,
  };
}
