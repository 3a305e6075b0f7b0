/**
 * Operators that submit changes of the configuration.
 *
 * @module
 */

import type { Configuration, Random } from "@dragonflyledge/model";
import type { Cluster } from "../cluster/mod.ts";

/** Guaranteed accelerators beyond this would not survive a lost worker. */
const GUARANTEE_LIMIT = 72;

/** Reads the configuration, and writes a change if no other one won. */
export function changeConfiguration(cluster: Cluster, random: Random): void {
  const { store, heap } = cluster;
  store.call((contents) => contents.configuration, (read) => {
    if (read === undefined) return;
    const changed = change(read, random);
    heap.after(random() * 200, () =>
      store.call((contents) => {
        if (contents.configuration.version !== read.version) return false;
        contents.configuration = changed;
        store.publishChange();
        return true;
      }, () => {}));
  });
}

function change(read: Configuration, random: Random): Configuration {
  const changed = structuredClone(read);
  changed.version = read.version + 1;
  const team = changed.teams[Math.floor(random() * changed.teams.length)]!;
  if (random() < 0.5) {
    team.weight = 1 + Math.floor(random() * 5);
    return changed;
  }
  const shape = team.guarantees[0];
  if (shape === undefined) return changed;
  const more = sum(changed) + shape.accelerators <= GUARANTEE_LIMIT;
  if (shape.count > 1 && (!more || random() < 0.5)) shape.count--;
  else if (more) shape.count++;
  return changed;
}

function sum(configuration: Configuration): number {
  return configuration.teams.flatMap((team) => team.guarantees)
    .reduce((total, shape) => total + shape.accelerators * shape.count, 0);
}
