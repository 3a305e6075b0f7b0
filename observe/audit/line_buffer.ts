/**
 * Buffer of limited size for audit lines that are not stored yet.
 *
 * @module
 */

import type { AuditRecord } from "@dragonflyledge/model";
import { type AuditLine, lineSize, SEGMENT_SIZE } from "./segment.ts";

/** Kind of the record that holds the number of dropped records. */
export const DROPPED_KIND = "audit-dropped";

/** Buffered lines in the order of their sequence numbers. */
export interface LineBuffer {
  /** Adds a record, or drops it if the buffer is full. */
  add(record: AuditRecord): void;
  /**
   * Returns the first lines whose total size is at most `maxBytes`, and at
   * least one line unless the buffer is empty.
   */
  peek(maxBytes: number): AuditLine[];
  /** Removes all lines up to this sequence number, which are stored. */
  removeStored(sequence: number): void;
  /** Number of buffered lines. */
  size(): number;
  /** Number of records that were dropped so far. */
  dropped(): number;
}

/**
 * Creates an empty buffer for at most `limit` lines. When it is full, further
 * records are dropped. A record of kind `audit-dropped` marks the gap and holds
 * the number of dropped records.
 */
export function createLineBuffer(
  { entry, origin, limit, date }: {
    entry: string;
    origin: string;
    limit: number;
    date: () => Date;
  },
): LineBuffer {
  let lines: AuditLine[] = [];
  let sequence = 0;
  let dropped = 0;
  let unreported = 0;

  /** Appends a record; returns false if it is larger than a segment. */
  function push(record: AuditRecord): boolean {
    const line = {
      ...record,
      time: date().toISOString(),
      entry,
      sequence: sequence + 1,
      origin,
    };
    if (lineSize(line) > SEGMENT_SIZE) return false;
    sequence++;
    lines.push(line);
    return true;
  }

  function drop(): void {
    dropped++;
    unreported++;
    reportGap();
  }

  /** Marks the gap once the buffer has room; one line is reserved for it. */
  function reportGap(): void {
    if (unreported === 0 || lines.length >= limit - 1) return;
    push({
      kind: DROPPED_KIND,
      team: "",
      worker: "",
      job: "",
      reason: "the buffer of the audit trail was full",
      actor: entry,
      detail: { dropped: unreported },
    });
    unreported = 0;
  }

  return {
    add(record) {
      if (unreported > 0 || lines.length >= limit - 1 || !push(record)) drop();
    },
    peek(maxBytes) {
      let size = 0;
      const count = lines.findIndex((line, index) => {
        size += lineSize(line);
        return index > 0 && size > maxBytes;
      });
      return count < 0 ? [...lines] : lines.slice(0, count);
    },
    removeStored(upTo) {
      lines = lines.filter((line) => line.sequence > upTo);
      reportGap();
    },
    size: () => lines.length,
    dropped: () => dropped,
  };
}
