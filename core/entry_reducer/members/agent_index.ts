/**
 * Index of the agents with a free slot for one kind of work. They are kept in
 * an array, so that a random one is found without a walk over all workers.
 *
 * @module
 */

import type { Random, WorkerId } from "@dragonflyledge/model";

/** Agents with a free slot, of which one can be drawn at random. */
export interface AgentIndex {
  /** Number of agents with a free slot. */
  readonly size: number;
  /** Records the number of free slots of an agent; with 0 it is removed. */
  set(worker: WorkerId, free: number): void;
  /**
   * Draws two agents at random and returns the one with more free slots, on
   * equal numbers the one that `preferred` accepts. It skips the worker `avoid`
   * unless that is the only one. Returns undefined if the index is empty.
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
  /** Position in the array. */
  position: number;
}

/** Creates an empty index. */
export function createAgentIndex(): AgentIndex {
  const list: IndexedAgent[] = [];
  const byWorker = new Map<WorkerId, IndexedAgent>();
  const draw = (random: Random, avoid: WorkerId | undefined): IndexedAgent => {
    const position = Math.floor(random() * list.length);
    const agent = list[position]!;
    if (agent.worker !== avoid || list.length === 1) return agent;
    return list[(position + 1) % list.length]!;
  };
  return {
    get size() {
      return list.length;
    },
    set(worker, free) {
      const agent = byWorker.get(worker);
      if (free > 0 && agent !== undefined) agent.free = free;
      else if (free > 0) {
        const added = { worker, free, position: list.length };
        list.push(added);
        byWorker.set(worker, added);
      } else if (agent !== undefined) {
        const last = list.pop()!;
        if (last !== agent) {
          list[agent.position] = last;
          last.position = agent.position;
        }
        byWorker.delete(worker);
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
