/**
 * Binary heap that also removes items from its middle in O(log n).
 *
 * @module
 */

export interface IndexedHeap<Item> {
  readonly size: number;
  peek(): Item | undefined;
  push(item: Item): void;
  /** Returns whether the item was present. */
  remove(item: Item): boolean;
  /** Number of items that come before the given one; O(n). */
  countBefore(item: Item): number;
}

/** Creates a heap whose first item is the one that `before` all others. */
export function createIndexedHeap<Item>(fields: {
  before: (left: Item, right: Item) => boolean;
}): IndexedHeap<Item> {
  const items: Item[] = [];
  const positions = new Map<Item, number>();
  const place = (item: Item, position: number) => {
    items[position] = item;
    positions.set(item, position);
  };
  const rise = (item: Item, start: number) => {
    let position = start;
    while (position > 0) {
      const parent = (position - 1) >> 1;
      if (!fields.before(item, items[parent]!)) break;
      place(items[parent]!, position);
      position = parent;
    }
    place(item, position);
  };
  const sink = (item: Item, start: number) => {
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
    push: (item) => rise(item, items.length),
    remove(item) {
      const position = positions.get(item);
      if (position === undefined) return false;
      positions.delete(item);
      const moved = items.pop()!;
      if (moved === item) return true;
      if (position > 0 && fields.before(moved, items[(position - 1) >> 1]!)) {
        rise(moved, position);
      } else sink(moved, position);
      return true;
    },
    countBefore: (item) =>
      items.reduce(
        (sum, other) => sum + (fields.before(other, item) ? 1 : 0),
        0,
      ),
  };
}
