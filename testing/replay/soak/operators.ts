/**
 * Operators that submit changes of the configuration.
 *
 * @module
 */

import type { Configuration, Random } from "@dragonflyledge/model";
import type { Cluster } from "../cluster/mod.ts";

/**
 * Most accelerators that all teams together are guaranteed. More could not be
 * provided once a worker is lost.
 */
const GUARANTEE_LIMIT = 72;

/**
 * Reads the configuration and writes a random change of it up to 200 ms later,
 * unless another operator has written a version in between.
 */
export function changeConfiguration(cluster: Cluster, random: Random): void {
  const { store, heap } = cluster;
  store.call((contents) => contents.configuration, (read) => {
    if (read === undefined) return;
    const changed = changeRandomly(read, random);
    heap.after(random() * 200, () =>
      store.call((contents) => {
        if (contents.configuration.version !== read.version) return false;
        contents.configuration = changed;
        store.publishChange();
        return true;
      }, () => {}));
  });
}

/**
 * Changes the weight of a random team or, within `GUARANTEE_LIMIT`, the count
 * of its first guarantee.
 */
function changeRandomly(read: Configuration, random: Random): Configuration {
  const changed = structuredClone(read);
  changed.version = read.version + 1;
  const team = changed.teams[Math.floor(random() * changed.teams.length)]!;
  if (random() < 0.5) {
    team.weight = 1 + Math.floor(random() * 5);
    return changed;
  }
  const shape = team.guarantees[0];
  if (shape === undefined) return changed;
  const more = sumGuarantees(changed) + shape.accelerators <= GUARANTEE_LIMIT;
  if (shape.count > 1 && (!more || random() < 0.5)) shape.count--;
  else if (more) shape.count++;
  return changed;
}

/** Counts the accelerators that all teams together are guaranteed. */
function sumGuarantees(configuration: Configuration): number {
  return configuration.teams.flatMap((team) => team.guarantees)
    .reduce((total, shape) => total + shape.accelerators * shape.count, 0);
}
