/**
 * Agents with a free slot for one variant of work, in no order, so that a
 * random one is found without a walk over all workers.
 *
 * @module
 */

import type { Random, WorkerId } from "@dragonflyledge/model";

export interface AgentIndex {
  readonly size: number;
  /** Records the free slots of an agent; none removes it. */
  set(worker: WorkerId, free: number): void;
  /**
   * Draws two agents and returns the one with more free slots; on equal load
   * the one that `preferred` accepts. Skips `avoid` if there is another one.
   */
  choose(terms: {
    random: Random;
    avoid: WorkerId | undefined;
    preferred: (worker: WorkerId) => boolean;
  }): WorkerId | undefined;
}

interface IndexedAgent {
  worker: WorkerId;
  free: number;
  position: number;
}

/** Creates an empty index. */
export function createAgentIndex(): AgentIndex {
  const list: IndexedAgent[] = [];
  const slots = new Map<WorkerId, IndexedAgent>();
  const draw = (random: Random, avoid: WorkerId | undefined): IndexedAgent => {
    const position = Math.floor(random() * list.length);
    const slot = list[position]!;
    if (slot.worker !== avoid || list.length === 1) return slot;
    return list[(position + 1) % list.length]!;
  };
  return {
    get size() {
      return list.length;
    },
    set(worker, free) {
      const slot = slots.get(worker);
      if (free > 0 && slot !== undefined) slot.free = free;
      else if (free > 0) {
        const added = { worker, free, position: list.length };
        list.push(added);
        slots.set(worker, added);
      } else if (slot !== undefined) {
        const last = list.pop()!;
        if (last !== slot) {
          list[slot.position] = last;
          last.position = slot.position;
        }
        slots.delete(worker);
      }
    },
    choose({ random, avoid, preferred }) {
      if (list.length === 0) return undefined;
      const first = draw(random, avoid);
      const second = draw(random, avoid);
      if (first.free !== second.free) {
        return first.free > second.free ? first.worker : second.worker;
      }
      return preferred(second.worker) && !preferred(first.worker)
        ? second.worker
        : first.worker;
    },
  };
}
