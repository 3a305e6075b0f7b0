/**
 * Shares of the time between two lists of a worker in which tasks of each kind
 * were on it.
 *
 * @module
 */

import type { SparseRow } from "./evidence.ts";

/** Number of runs of each kind in one list. */
export type KindCounts = Map<number, number>;

/** Share of the time between two lists that a kind was on the worker. */
export interface KindShare {
  kind: number;
  /** Share of time beside a run of another kind. */
  any: number;
  /** Share of time beside a run of the same kind. */
  several: number;
}

/** Compares two lists of a worker. */
export function shareKinds(before: KindCounts, after: KindCounts): KindShare[] {
  const shares: KindShare[] = [];
  for (const kind of new Set([...before.keys(), ...after.keys()])) {
    const first = before.get(kind) ?? 0;
    const last = after.get(kind) ?? 0;
    const any = shareOf(first > 0, last > 0);
    shares.push({ kind, any, several: shareOf(first > 1, last > 1) });
  }
  return shares;
}

/** Kinds beside one run of the kind; it is not beside itself. */
export function besideRun(shares: KindShare[], kind: number): SparseRow {
  const row: SparseRow = { kinds: [], values: [] };
  for (const share of shares) {
    const value = share.kind === kind ? share.several : share.any;
    if (value === 0) continue;
    row.kinds.push(share.kind);
    row.values.push(value);
  }
  return row;
}

/**
 * Share of the time between two lists. A worker lists at once when a task ends,
 * while a start may fall anywhere between two lists.
 */
function shareOf(before: boolean, after: boolean): number {
  if (before) return 1;
  return after ? 0.5 : 0;
}
