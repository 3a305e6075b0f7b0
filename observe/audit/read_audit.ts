/**
 * Reads the audit trail.
 *
 * @module
 */

import { err, ok, type Result } from "neverthrow";
import type { StepError } from "@dragonflyledge/model";
import type { KeyRevision, Store } from "@dragonflyledge/store";
import {
  type AuditFilter,
  type AuditLine,
  matchesFilter,
  parseLines,
  parseSegmentKey,
  segmentPrefix,
} from "./segment.ts";

/**
 * Returns the records that match the filter, oldest first. Each segment that
 * may hold records within the filter's time takes one call to the store.
 *
 * @param fields.limit largest number of records to return; the latest are kept
 */
export async function readAudit(
  { store, prefix, filter = {}, limit = Infinity }: {
    store: Store;
    prefix: string;
    filter?: AuditFilter;
    limit?: number;
  },
): Promise<Result<AuditLine[], StepError>> {
  const keys = await store.listKeys(segmentPrefix(prefix));
  if (keys.isErr()) return err(keys.error);
  const found: AuditLine[] = [];
  for (const key of selectSegments(prefix, keys.value, filter)) {
    const item = await store.get(key);
    if (item.isErr()) return err(item.error);
    // The segment may have been removed since it was listed.
    if (!item.value) continue;
    const lines = parseSegment(item.value.value);
    found.push(...lines.filter((line) => matchesFilter(line, filter)));
  }
  found.sort(compareLines);
  return ok(found.slice(Math.max(0, found.length - limit)));
}

/** Parses the stored value of a segment; returns no lines if malformed. */
export function parseSegment(value: string): AuditLine[] {
  try {
    return parseLines((JSON.parse(value) as { value?: unknown } | null)?.value);
  } catch {
    return [];
  }
}

/** Orders lines by time, then by sequence. */
function compareLines(left: AuditLine, right: AuditLine): number {
  if (left.time !== right.time) return left.time < right.time ? -1 : 1;
  return left.sequence - right.sequence;
}

/**
 * Returns the keys of segments that may hold records within the filter's time.
 * A segment ends when the next one of the same entry begins.
 */
function selectSegments(
  prefix: string,
  keys: KeyRevision[],
  { from, to }: AuditFilter,
): string[] {
  const selected: string[] = [];
  const nextStart = new Map<string, number>();
  for (const { key } of [...keys].reverse()) {
    const segment = parseSegmentKey(prefix, key);
    if (!segment) continue;
    const end = nextStart.get(segment.entry) ?? Infinity;
    nextStart.set(segment.entry, segment.start);
    // A line may be older than its segment, because it was buffered.
    const ended = from !== undefined && end < from.getTime();
    const later = to !== undefined &&
      segment.start > to.getTime() + maxBufferedTime;
    if (!ended && !later) selected.push(key);
  }
  return selected.reverse();
}

/**
 * Longest time for which lines may have been buffered during an outage of the
 * store and are still found. In milliseconds.
 */
const maxBufferedTime = 24 * 3600 * 1000;
