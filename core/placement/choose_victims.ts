/**
 * Choice of the gangs that are stopped to make room.
 *
 * @module
 */

import type { RunId } from "@dragonflyledge/model";

/** A place for one member and the gangs that have to be stopped for it. */
export interface VictimOption {
  victims: readonly RunId[];
  /** Breaks ties; lower is better. */
  rank: number;
}

/** Key of a run. */
export function runKey(run: RunId): string {
  return `${run.job}\n${run.epoch}`;
}

/**
 * Chooses `needed` options with little lost work. Gangs are stopped whole, so
 * a gang is counted once, with its whole loss, however many options use it.
 */
export function chooseVictims<O extends VictimOption>(fields: {
  needed: number;
  options: readonly O[];
  /** Work of the whole gang that is lost, in accelerator-milliseconds. */
  lostWork: (run: RunId) => number;
}): { chosen: O[]; victims: RunId[]; loss: number } {
  const victims = new Map<string, RunId>();
  const left = new Set(fields.options);
  const chosen: O[] = [];
  let loss = 0;
  const addedLoss = (option: O) => {
    let added = 0;
    for (const run of option.victims) {
      // A stopped gang costs something even if it has just started.
      if (!victims.has(runKey(run))) added += 1 + fields.lostWork(run);
    }
    return added;
  };
  while (chosen.length < fields.needed && left.size > 0) {
    let best: O | undefined;
    let bestLoss = Infinity;
    for (const option of left) {
      const added = addedLoss(option);
      const better = best === undefined || added < bestLoss ||
        (added === bestLoss && option.rank < best.rank);
      if (better) [best, bestLoss] = [option, added];
    }
    if (best === undefined) break;
    left.delete(best);
    chosen.push(best);
    loss += bestLoss;
    for (const run of best.victims) victims.set(runKey(run), run);
  }
  return { chosen, victims: [...victims.values()], loss };
}
