/**
 * State of the computation of homes.
 *
 * @module
 */

import type { HomesTable, Milliseconds, WorkerId } from "@dragonflyledge/model";

/** What decides when homes are computed again. */
export interface HomesState {
  startedAt: Milliseconds | undefined;
  /** Whether the workers or the configuration may have changed. */
  dirty: boolean;
  /** No computation before this time. */
  notBefore: Milliseconds;
  /** When each lost worker counts as gone, in ascending order. */
  removalTimes: Milliseconds[];
  /** Workers that are known to leave. */
  leavingWorkers: Set<WorkerId>;
  /** The table for which homes were last checked. */
  checkedTable: HomesTable | undefined;
  /** The table that is being written. */
  pendingTable: HomesTable | undefined;
}

/** The state of an entry that has just started. */
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
