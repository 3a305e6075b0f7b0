/**
 * Binary heap that can remove any item, not only the first, in O(log n).
 *
 * @module
 */

/** Heap of distinct items. The order of an item must not change inside it. */
export interface IndexedHeap<Item> {
  readonly size: number;
  /** Returns the first item, which stays in the heap. */
  peek(): Item | undefined;
  /** Adds an item that is not in the heap. */
  push(item: Item): void;
  /** Removes an item, and returns whether it was present. */
  remove(item: Item): boolean;
  /** Number of items that come before the given one, in O(n). */
  countBefore(item: Item): number;
}

/**
 * Creates an empty heap.
 *
 * @param fields.before whether `left` comes before `right`; a strict order
 */
export function createIndexedHeap<Item>(fields: {
  before: (left: Item, right: Item) => boolean;
}): IndexedHeap<Item> {
  const items: Item[] = [];
  const positions = new Map<Item, number>();
  const place = (item: Item, position: number) => {
    items[position] = item;
    positions.set(item, position);
  };
  const siftUp = (item: Item, start: number) => {
    let position = start;
    while (position > 0) {
      const parent = (position - 1) >> 1;
      if (!fields.before(item, items[parent]!)) break;
      place(items[parent]!, position);
      position = parent;
    }
    place(item, position);
  };
  const siftDown = (item: Item, start: number) => {
    let position = start;
    while (true) {
      let child = 2 * position + 1;
      if (child >= items.length) break;
      const right = child + 1;
      if (
        right < items.length && fields.before(items[right]!, items[child]!)
      ) child = right;
      if (!fields.before(items[child]!, item)) break;
      place(items[child]!, position);
      position = child;
    }
    place(item, position);
  };
  return {
    get size() {
      return items.length;
    },
    peek: () => items[0],
    push: (item) => siftUp(item, items.length),
    remove(item) {
      const position = positions.get(item);
      if (position === undefined) return false;
      positions.delete(item);
      const moved = items.pop()!;
      if (moved === item) return true;
      if (position > 0 && fields.before(moved, items[(position - 1) >> 1]!)) {
        siftUp(moved, position);
      } else siftDown(moved, position);
      return true;
    },
    countBefore: (item) =>
      items.reduce(
        (sum, other) => sum + (fields.before(other, item) ? 1 : 0),
        0,
      ),
  };
}
