/**
 * Simulated time: actions in the order in which they are due.
 *
 * @module
 */

import type { Milliseconds } from "@dragonflyledge/model";

interface Entry {
  at: Milliseconds;
  /** Entries of one time keep their order. */
  order: number;
  act: () => void;
}

/** Simulated clock with timers. */
export interface Agenda {
  now(): Milliseconds;
  after(delay: Milliseconds, act: () => void): void;
  /** Passes time until `end`, or until `isOver` holds after an action. */
  runUntil(end: Milliseconds, isOver: () => boolean): void;
  /** Number of actions so far. */
  count(): number;
}

/** Creates an agenda at time 0. */
export function createAgenda(): Agenda {
  const heap: Entry[] = [];
  let now: Milliseconds = 0;
  let added = 0;
  let count = 0;

  const isBefore = (a: Entry, b: Entry) =>
    a.at < b.at || (a.at === b.at && a.order < b.order);

  function push(entry: Entry): void {
    let index = heap.length;
    while (index > 0) {
      const parent = (index - 1) >> 1;
      if (!isBefore(entry, heap[parent]!)) break;
      heap[index] = heap[parent]!;
      index = parent;
    }
    heap[index] = entry;
  }

  function pop(): Entry {
    const first = heap[0]!;
    const last = heap.pop()!;
    if (heap.length === 0) return first;
    let index = 0;
    while (true) {
      let child = 2 * index + 1;
      if (child >= heap.length) break;
      const other = heap[child + 1];
      if (other && isBefore(other, heap[child]!)) child++;
      if (!isBefore(heap[child]!, last)) break;
      heap[index] = heap[child]!;
      index = child;
    }
    heap[index] = last;
    return first;
  }

  return {
    now: () => now,
    after: (delay, act) => push({ at: now + delay, order: added++, act }),
    runUntil: (end, isOver) => {
      while (heap.length > 0 && heap[0]!.at <= end) {
        const { at, act } = pop();
        now = at;
        count++;
        act();
        if (isOver()) return;
      }
      now = end;
    },
    count: () => count,
  };
}
