/**
 * Virtual time: runs tasks by their time, and those of one time in the order of
 * their insertion.
 *
 * @module
 */

import type { Milliseconds } from "@dragonflyledge/model";

/** Runs tasks in virtual time. */
export interface EventHeap {
  readonly now: Milliseconds;
  at(time: Milliseconds, task: () => void): void;
  after(delay: Milliseconds, task: () => void): void;
  /** Runs all tasks that are due by then, and advances the time to it. */
  run(until: Milliseconds): void;
}

interface Entry {
  time: Milliseconds;
  order: number;
  task: () => void;
}

/** Creates an empty heap at time 0. */
export function createEventHeap(): EventHeap {
  const heap: Entry[] = [];
  let now = 0;
  let order = 0;

  function push(entry: Entry): void {
    let index = heap.push(entry) - 1;
    while (index > 0) {
      const parent = (index - 1) >> 1;
      if (!before(entry, heap[parent]!)) break;
      heap[index] = heap[parent]!;
      index = parent;
    }
    heap[index] = entry;
  }

  function pop(): Entry {
    const first = heap[0]!;
    const last = heap.pop()!;
    if (heap.length > 0) siftDown(last);
    return first;
  }

  function siftDown(entry: Entry): void {
    let index = 0;
    while (true) {
      let child = 2 * index + 1;
      if (child >= heap.length) break;
      const right = child + 1;
      if (right < heap.length && before(heap[right]!, heap[child]!)) {
        child = right;
      }
      if (!before(heap[child]!, entry)) break;
      heap[index] = heap[child]!;
      index = child;
    }
    heap[index] = entry;
  }

  function at(time: Milliseconds, task: () => void): void {
    push({ time: Math.max(time, now), order: order++, task });
  }

  return {
    get now() {
      return now;
    },
    at,
    after: (delay, task) => at(now + delay, task),
    run(until) {
      while (heap.length > 0 && heap[0]!.time <= until) {
        const { time, task } = pop();
        now = time;
        task();
      }
      now = Math.max(now, until);
    },
  };
}

function before(left: Entry, right: Entry): boolean {
  return left.time < right.time ||
    (left.time === right.time && left.order < right.order);
}
