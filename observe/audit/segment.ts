/**
 * Format of audit segments in the store.
 *
 * @module
 */

import { Buffer } from "node:buffer";
import { type AuditRecord, KIBIBYTE } from "@dragonflyledge/model";

/** A record as it is stored. */
export interface AuditLine extends AuditRecord {
  /** Time of the record by the entry's wall clock, in ISO 8601. */
  time: string;
  entry: string;
  /** Number of the record among those of one start of the entry, from 1. */
  sequence: number;
  /** Identifies the start of the entry; each start numbers its records anew. */
  origin: string;
}

/** Selects records. Absent fields match everything. */
export interface AuditFilter {
  team?: string;
  worker?: string;
  kind?: string;
  job?: string;
  /** First and last time, inclusive. */
  from?: Date;
  to?: Date;
}

/** Largest size of a segment in bytes. */
export const SEGMENT_SIZE = 64 * KIBIBYTE;

/** Returns the prefix of the keys of all segments of a deployment. */
export function segmentPrefix(prefix: string): string {
  return `${prefix}audit/`;
}

/** Returns the key of a segment. Keys sort by the start of the segment. */
export function segmentKey(prefix: string, start: Date, entry: string): string {
  const name = `${start.toISOString()}-${encodeURIComponent(entry)}`;
  return segmentPrefix(prefix) + name;
}

/**
 * Returns the time in milliseconds at which a segment starts and its entry, as
 * it is written in the key, or undefined for other keys.
 */
export function parseSegmentKey(
  prefix: string,
  key: string,
): { start: number; entry: string } | undefined {
  const name = key.slice(segmentPrefix(prefix).length);
  const [, start, entry] =
    /^(\d{4}-\d\d-\d\dT\d\d:\d\d:\d\d\.\d{3}Z)-(.+)$/.exec(name) ?? [];
  return start && entry ? { start: Date.parse(start), entry } : undefined;
}

/** Returns the lines of a decoded segment; malformed ones are left out. */
export function parseLines(value: unknown): AuditLine[] {
  return Array.isArray(value) ? value.filter(isAuditLine) : [];
}

function isAuditLine(value: unknown): value is AuditLine {
  const line = value as Partial<AuditLine> | null;
  const texts = [line?.kind, line?.team, line?.worker, line?.job, line?.reason];
  return [...texts, line?.actor, line?.time, line?.entry, line?.origin]
    .every((text) => typeof text === "string") &&
    Number.isSafeInteger(line?.sequence) &&
    typeof line?.detail === "object" && line.detail !== null;
}

/** Returns the bytes that a line takes in a segment. */
export function lineSize(line: AuditLine): number {
  return Buffer.byteLength(JSON.stringify(line)) + 1;
}

/** Whether a line matches the filter. */
export function matchesFilter(line: AuditLine, filter: AuditFilter): boolean {
  const { team, worker, kind, job, from, to } = filter;
  const time = Date.parse(line.time);
  return (team === undefined || line.team === team) &&
    (worker === undefined || line.worker === worker) &&
    (kind === undefined || line.kind === kind) &&
    (job === undefined || line.job === job) &&
    (from === undefined || time >= from.getTime()) &&
    (to === undefined || time <= to.getTime());
}
