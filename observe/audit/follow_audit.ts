/**
 * Follows the audit trail as it grows.
 *
 * @module
 */

import type { Random, StepError, Timer } from "@dragonflyledge/model";
import { type Change, followPrefix, type Store } from "@dragonflyledge/store";
import { parseSegment } from "./read_audit.ts";
import {
  type AuditFilter,
  type AuditLine,
  matchesFilter,
  segmentPrefix,
} from "./segment.ts";

/**
 * Calls `onLines` once with each record that matches the filter and is stored
 * from now on. With `filter.from`, records stored before are included.
 */
export function followAudit(
  { store, prefix, filter = {}, timer, random, onLines, onError }: {
    store: Store;
    prefix: string;
    filter?: AuditFilter;
    timer: Timer;
    random: Random;
    onLines: (lines: AuditLine[]) => void;
    onError?: (error: StepError) => void;
  },
): { stop(): void } {
  /** Number of lines seen of each segment, by key; a segment only grows. */
  const seenCounts = new Map<string, number>();

  function handleChanges(changes: Change[]): void {
    const skipped = !following?.ready() && filter.from === undefined;
    const lines = changes.flatMap(({ key, value }) => {
      if (value === undefined) {
        seenCounts.delete(key);
        return [];
      }
      const all = parseSegment(value);
      const before = seenCounts.get(key) ?? 0;
      seenCounts.set(key, all.length);
      return skipped ? [] : all.slice(before);
    }).filter((line) => matchesFilter(line, filter));
    if (lines.length > 0) onLines(lines);
  }

  const following: ReturnType<typeof followPrefix> | undefined = followPrefix({
    store,
    prefix: segmentPrefix(prefix),
    timer,
    random,
    onChange: handleChanges,
    onError,
  });
  return { stop: () => following.stop() };
}
