/**
 * Judges the answers of entries to requests that one configuration version
 * allows and no other one.
 *
 * @module
 */

/** An entry's answer to such a request. */
export interface VersionAnswer {
  /** Version that allows the request. */
  asked: number;
  status: number;
  /** Newest version of the operator when the answer arrived. */
  newest: number;
}

/**
 * Highest version by which the entry can have answered; undefined if the answer
 * does not tell. A newer version, which refuses the request, may have come into
 * force while it was under way.
 */
export function latestUsed(
  { asked, status, newest }: VersionAnswer,
): number | undefined {
  if (status === 200) return asked;
  const refused = status === 401 || status === 404;
  return refused && asked === newest ? asked - 1 : undefined;
}
