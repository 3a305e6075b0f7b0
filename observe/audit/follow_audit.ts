/**
 * Follows the audit trail live.
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
 * Calls `onLines` with each record that matches and is stored from now on, once.
 * Without `filter.from`, records stored before are left out.
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
  /** Lines of each segment that were told; a segment only grows. */
  const told = new Map<string, number>();

  function tell(changes: Change[]): void {
    const quiet = !following?.ready() && filter.from === undefined;
    const lines = changes.flatMap(({ key, value }) => {
      if (value === undefined) {
        told.delete(key);
        return [];
      }
      const all = parseSegment(value);
      const before = told.get(key) ?? 0;
      told.set(key, all.length);
      return quiet ? [] : all.slice(before);
    }).filter((line) => matchesFilter(line, filter));
    if (lines.length > 0) onLines(lines);
  }

  const following: ReturnType<typeof followPrefix> | undefined = followPrefix({
    store,
    prefix: segmentPrefix(prefix),
    timer,
    random,
    onChange: tell,
    onError,
  });
  return { stop: () => following.stop() };
}
