/**
 * Measures how fragmented the free accelerators are.
 *
 * @module
 */

import type { Home, HomesTable } from "@dragonflyledge/model";
import { findBlockStart } from "./find_block.ts";
import type { HeldMember, WorkerView } from "./worker_view.ts";

/** How well free accelerators and guarantees can be used; 1 is best. */
export interface Fragmentation {
  /**
   * Members that fit on aligned blocks of free accelerators, as a share of those
   * that would fit if any accelerators could be combined.
   */
  largestGang: number;
  /**
   * Share of the guaranteed shapes whose accelerators are each free, held by
   * revocable work or held by the team itself. Shapes without a home lower it.
   */
  placeableGuarantees: number;
}

/**
 * Measures fragmentation on the available workers, for gangs with members of the
 * given size.
 */
export function measureFragmentation(fields: {
  workers: Iterable<WorkerView>;
  homes?: HomesTable;
  /** Accelerators of each member, which must form one aligned block. */
  memberAccelerators: number;
}): Fragmentation {
  const { homes, memberAccelerators: size } = fields;
  const holders = new Map<string, (HeldMember | undefined)[]>();
  let freeCount = 0;
  let blockCount = 0;
  for (const view of fields.workers) {
    if (!view.available) continue;
    const held = listHolders(view);
    holders.set(view.inventory.worker, held);
    const usable = held.map((holder) => holder === undefined);
    freeCount += usable.filter((free) => free).length;
    blockCount += countBlocks(usable, size);
  }
  const possible = Math.floor(freeCount / size);
  const table = homes?.homes ?? [];
  const shapes = table.length + (homes?.unplaced.length ?? 0);
  const placeable = table.filter((home) => isPlaceable(home, holders)).length;
  return {
    largestGang: possible === 0 ? 1 : blockCount / possible,
    placeableGuarantees: shapes === 0 ? 1 : placeable / shapes,
  };
}

/** Returns the member that holds each accelerator of the worker. */
function listHolders(view: WorkerView): (HeldMember | undefined)[] {
  const holders = Array<HeldMember | undefined>(
    view.inventory.capacity.accelerators,
  ).fill(undefined);
  for (const held of view.held) {
    for (const index of held.accelerators) holders[index] = held;
  }
  return holders;
}

/** Counts free aligned blocks, and marks their accelerators as not usable. */
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

/** Whether the team could use all accelerators of the home. */
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
