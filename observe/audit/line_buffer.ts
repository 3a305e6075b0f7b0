/**
 * Bounded buffer of audit lines that are not yet stored.
 *
 * @module
 */

import type { AuditRecord } from "@dragonflyledge/model";
import { type AuditLine, lineSize, SEGMENT_SIZE } from "./segment.ts";

/** Kind of the record that tells how many records were dropped. */
export const DROPPED_KIND = "audit-dropped";

/** Lines in the order of their sequence. */
export interface LineBuffer {
  add(record: AuditRecord): void;
  /** The next lines that fit into `room` bytes; at least one, if there is one. */
  peek(room: number): AuditLine[];
  /** Forgets lines that are stored, up to this sequence. */
  removeStored(sequence: number): void;
  size(): number;
  dropped(): number;
}

/**
 * Returns an empty buffer. When it is full, later records are dropped, so that
 * the kept ones have one gap, which a record of kind `audit-dropped` marks.
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

  /** Marks the gap once it has ended; one place is kept for the mark. */
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
    peek(room) {
      let size = 0;
      const count = lines.findIndex((line, index) => {
        size += lineSize(line);
        return index > 0 && size > room;
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
