/**
 * Judges the answers of entries to requests for queues of one configuration
 * version each.
 *
 * @module
 */

/** An entry that lacks the queue of a version which it had before. */
export interface MissingVersion {
  /** Version whose queue was asked for. */
  asked: number;
  /** Highest version whose queue the process had. */
  known: number;
  /** Newest version of the operator when the answer arrived. */
  newest: number;
}

/**
 * Whether the entry went back to an older version. A newer one, which has other
 * queues, may have come into force while the request was under way.
 */
export function hasGoneBack(
  { asked, known, newest }: MissingVersion,
): boolean {
  return known >= asked && newest === asked;
}
