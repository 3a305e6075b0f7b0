/**
 * Tracks the revisions that this process has seen, to recognise answers of the
 * store that are older.
 *
 * @module
 */

import type { Item, Listing, Reading } from "./store.ts";

/** Revisions that this process has seen in answers and watches. */
export interface RevisionTracker {
  /** Highest revision seen of any key. */
  highestRevision(): number;
  /** Records a revision of a key, unless a higher one was recorded before. */
  record(key: string, revision: number): void;
  /**
   * Whether a reading is older than the revision seen of its key, or than
   * `floor`, the highest revision seen when the call was sent.
   */
  isStaleReading(key: string, reading: Reading, floor: number): boolean;
  /**
   * Whether a listing is older than `floor`, or contains an item that is older
   * than the revision seen of its key.
   */
  isStaleListing(listing: Listing, floor: number): boolean;
}

/** Creates a tracker that keeps the `limit` keys recorded last. */
export function createRevisionTracker(
  { limit = 10_000 }: { limit?: number } = {},
): RevisionTracker {
  const seen = new Map<string, number>();
  let highest = 0;

  function record(key: string, revision: number): void {
    highest = Math.max(highest, revision);
    const known = seen.get(key) ?? 0;
    seen.delete(key);
    seen.set(key, Math.max(known, revision));
    if (seen.size > limit) seen.delete(seen.keys().next().value!);
  }

  const isOld = (item: Item) => item.revision < (seen.get(item.key) ?? 0);

  return {
    highestRevision: () => highest,
    record,
    isStaleReading(key, { item, at }, floor) {
      if (at < Math.max(floor, seen.get(key) ?? 0)) return true;
      return item !== undefined && isOld(item);
    },
    isStaleListing: ({ items, at }, floor) => at < floor || items.some(isOld),
  };
}
