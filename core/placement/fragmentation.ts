/**
 * Measures of fragmentation.
 *
 * @module
 */

import type { Home, HomesTable } from "@dragonflyledge/model";
import { findBlockStart } from "./find_block.ts";
import type { HeldMember, WorkerView } from "./worker_view.ts";

/** How well free capacity and guarantees can be used. */
export interface Fragmentation {
  /** Members of the largest gang over what free capacity could hold. */
  largestGang: number;
  /** Share of guaranteed shapes that are free, reclaimable or in own use. */
  placeableGuarantees: number;
}

/** Measures fragmentation for gangs with members of the given size. */
export function measureFragmentation(fields: {
  workers: Iterable<WorkerView>;
  homes?: HomesTable;
  /** Accelerators of one member, as one aligned block. */
  memberAccelerators: number;
}): Fragmentation {
  const { homes, memberAccelerators: size } = fields;
  const holders = new Map<string, (HeldMember | undefined)[]>();
  let total = 0;
  let blocks = 0;
  for (const view of fields.workers) {
    if (!view.available) continue;
    const held = listHolders(view);
    holders.set(view.inventory.worker, held);
    const usable = held.map((holder) => holder === undefined);
    total += usable.filter((free) => free).length;
    blocks += countBlocks(usable, size);
  }
  const possible = Math.floor(total / size);
  const table = homes?.homes ?? [];
  const shapes = table.length + (homes?.unplaced.length ?? 0);
  const placeable = table.filter((home) => isPlaceable(home, holders)).length;
  return {
    largestGang: possible === 0 ? 1 : blocks / possible,
    placeableGuarantees: shapes === 0 ? 1 : placeable / shapes,
  };
}

function listHolders(view: WorkerView): (HeldMember | undefined)[] {
  const holders = Array<HeldMember | undefined>(
    view.inventory.capacity.accelerators,
  ).fill(undefined);
  for (const held of view.held) {
    for (const index of held.accelerators) holders[index] = held;
  }
  return holders;
}

function countBlocks(usable: boolean[], size: number): number {
  let count = 0;
  for (;;) {
    const start = findBlockStart({ usable, size });
    if (start < 0) return count;
    for (let index = start; index < start + size; index++) {
      usable[index] = false;
    }
    count++;
  }
}

function isPlaceable(
  home: Home,
  holders: Map<string, (HeldMember | undefined)[]>,
): boolean {
  return home.parts.every((part) => {
    const held = holders.get(part.worker);
    return held !== undefined && part.accelerators.every((index) => {
      const holder = held[index];
      return holder === undefined || holder.revocable ||
        holder.team === home.team;
    });
  });
}
