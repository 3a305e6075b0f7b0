/**
 * Watches that nothing starts after a number of ends that the leader noted.
 *
 * @module
 */

import type { PlacedRun } from "./ledger.ts";

interface End {
  run: PlacedRun;
  noted: boolean;
}

/** Ends of one kind of a task or a gang, and what started after them. */
export interface EndLimit {
  started(run: PlacedRun): void;
  ended(run: PlacedRun): void;
  /** The lease of the worker lapsed, so that its ends are never noted. */
  lapsed(worker: string): void;
  noted(run: PlacedRun): void;
  /** A run that started after as many ends that were noted then or later. */
  broken(): PlacedRun | undefined;
}

/** Permits no start after `limit` ends of different runs. */
export function createEndLimit(limit: number): EndLimit {
  let ends: End[] = [];
  /** Starts after so many ends that these may be too many. */
  const doubtful: { run: PlacedRun; ends: End[] }[] = [];
  const count = (list: End[]) => new Set(list.map(({ run }) => run.run)).size;

  return {
    started: (run) => {
      if (count(ends) >= limit) doubtful.push({ run, ends: [...ends] });
    },
    ended: (run) => ends.push({ run, noted: false }),
    lapsed: (worker) => {
      ends = ends.filter(({ run, noted }) => noted || run.worker !== worker);
    },
    noted: ({ task, run, worker }) => {
      const end = ends.find(({ run: other }) =>
        other.task === task && other.run === run && other.worker === worker
      );
      if (end) end.noted = true;
    },
    broken: () =>
      doubtful.find((start) =>
        count(start.ends.filter(({ noted }) => noted)) >= limit
      )?.run,
  };
}
