/**
 * Chooses the gangs that are stopped to make room for another gang.
 *
 * @module
 */

import type { RunId } from "@dragonflyledge/model";

/** A possible placement for one member, as far as the choice depends on it. */
export interface VictimOption {
  /** Gangs that have to be stopped before the member can run. */
  victims: readonly RunId[];
  /** Decides between options of equal loss; lower is better. */
  rank: number;
}

/** Returns a string that is equal for equal runs, for use as a map key. */
export function runKey(run: RunId): string {
  return `${run.job}\n${run.epoch}`;
}

/**
 * Chooses `needed` options, or all if there are fewer, and the gangs to stop for
 * them. Repeatedly takes the option that adds the least lost work, so the total
 * is small but not always the least possible. A gang is stopped as a whole, so
 * its loss counts once, however many of the chosen options need it stopped.
 */
export function chooseVictims<O extends VictimOption>(fields: {
  needed: number;
  options: readonly O[];
  /** Work of the whole gang that is lost, in accelerator-milliseconds. */
  lostWork: (run: RunId) => number;
}): {
  chosen: O[];
  victims: RunId[];
  /** Lost work of all victims, plus one for each. */
  loss: number;
} {
  const victims = new Map<string, RunId>();
  const remaining = new Set(fields.options);
  const chosen: O[] = [];
  let loss = 0;
  const addedLoss = (option: O) => {
    let added = 0;
    for (const run of option.victims) {
      // Adds 1 so that stopping a gang that has just started, without lost work,
      // still counts as worse than stopping none.
      if (!victims.has(runKey(run))) added += 1 + fields.lostWork(run);
    }
    return added;
  };
  while (chosen.length < fields.needed && remaining.size > 0) {
    let best: O | undefined;
    let bestLoss = Infinity;
    for (const option of remaining) {
      const added = addedLoss(option);
      const isBetter = best === undefined || added < bestLoss ||
        (added === bestLoss && option.rank < best.rank);
      if (isBetter) [best, bestLoss] = [option, added];
    }
    if (best === undefined) break;
    remaining.delete(best);
    chosen.push(best);
    loss += bestLoss;
    for (const run of best.victims) victims.set(runKey(run), run);
  }
  return { chosen, victims: [...victims.values()], loss };
}
