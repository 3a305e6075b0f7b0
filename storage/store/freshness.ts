/**
 * Memory of revisions that were seen, to recognise answers that are older.
 *
 * @module
 */

import type { Item, Listing, Reading } from "./store.ts";

/** Revisions that this process has seen. */
export interface RevisionTracker {
  /** Highest revision seen anywhere. */
  highestRevision(): number;
  record(key: string, revision: number): void;
  /**
   * Whether an answer is older than what was seen of the key, or than `floor`,
   * the highest revision seen when the call was sent.
   */
  isStaleReading(key: string, reading: Reading, floor: number): boolean;
  isStaleListing(listing: Listing, floor: number): boolean;
}

/** Returns an empty memory that keeps `limit` keys, the latest ones. */
export function createRevisionTracker(
  { limit = 10_000 }: { limit?: number } = {},
): RevisionTracker {
  const seen = new Map<string, number>();
  let highest = 0;

  function note(key: string, revision: number): void {
    highest = Math.max(highest, revision);
    const known = seen.get(key) ?? 0;
    seen.delete(key);
    seen.set(key, Math.max(known, revision));
    if (seen.size > limit) seen.delete(seen.keys().next().value!);
  }

  const isOld = (item: Item) => item.revision < (seen.get(item.key) ?? 0);

  return {
    highestRevision: () => highest,
    record: note,
    isStaleReading(key, { item, at }, floor) {
      if (at < Math.max(floor, seen.get(key) ?? 0)) return true;
      return item !== undefined && isOld(item);
    },
    isStaleListing: ({ items, at }, floor) => at < floor || items.some(isOld),
  };
}
