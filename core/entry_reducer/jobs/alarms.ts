/**
 * Timers in order of time.
 *
 * @module
 */

import type { Milliseconds } from "@dragonflyledge/model";

/**
 * Timers in a binary heap, so that a tick costs nothing for jobs that are not
 * due. A timer can't be removed: the owner ignores one that it replaced.
 */
export class TimerQueue<T> {
  readonly #heap: { at: Milliseconds; item: T }[] = [];

  /** Adds a timer that is due at the given time. */
  set(at: Milliseconds, item: T): void {
    const heap = this.#heap;
    let index = heap.length;
    heap.push({ at, item });
    while (index > 0) {
      const parent = (index - 1) >> 1;
      if (this.#at(parent) <= at) break;
      this.#swap(index, parent);
      index = parent;
    }
  }

  /**
   * Removes the earliest timer and returns its item, or returns undefined if
   * no timer is due.
   */
  takeDue(now: Milliseconds): T | undefined {
    const heap = this.#heap;
    const first = heap[0];
    if (first === undefined || first.at > now) return undefined;
    const last = heap.pop();
    if (last !== undefined && heap.length > 0) {
      heap[0] = last;
      this.#sink();
    }
    return first.item;
  }

  #sink(): void {
    let index = 0;
    for (;;) {
      const left = 2 * index + 1;
      const smaller = this.#at(left + 1) < this.#at(left) ? left + 1 : left;
      if (this.#at(smaller) >= this.#at(index)) return;
      this.#swap(index, smaller);
      index = smaller;
    }
  }

  #at(index: number): Milliseconds {
    return this.#heap[index]?.at ?? Infinity;
  }

  #swap(a: number, b: number): void {
    const [first, second] = [this.#heap[a], this.#heap[b]];
    if (first === undefined || second === undefined) return;
    this.#heap[a] = second;
    this.#heap[b] = first;
  }
}
