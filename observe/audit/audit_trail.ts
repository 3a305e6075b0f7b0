/**
 * Appends audit records to segments of limited size in the store.
 *
 * @module
 */

import {
  type AuditRecord,
  type Clock,
  createRandom,
  type Milliseconds,
  type Random,
  SECOND,
  type StepError,
  type Timer,
} from "@dragonflyledge/model";
import {
  createValueWriter,
  MAX_WRITES_PER_CALL,
  type Store,
  type StoredValue,
} from "@dragonflyledge/store";
import { createLineBuffer } from "./line_buffer.ts";
import {
  type AuditLine,
  lineSize,
  parseLines,
  SEGMENT_SIZE,
  segmentKey,
  segmentPrefix,
} from "./segment.ts";

/** An audit trail that an entry writes. */
export interface AuditTrail {
  /** Buffers a record; it is stored within about a second. */
  record(record: AuditRecord): void;
  /** Tries to store all buffered records; returns whether that succeeded. */
  flush(): Promise<boolean>;
  /** Counts of buffered records, and of those stored and dropped so far. */
  counts(): { waiting: number; stored: number; dropped: number };
  /** Flushes once more and closes the trail. */
  stop(): Promise<void>;
}

/** Longest time that a record is buffered while the store is reachable. */
const batchDelay = 1 * SECOND;
/** Buffered records that are written without waiting any longer. */
const batchSize = 100;
/** Longest delay between attempts during an outage of the store. */
const maxRetryDelay = 10 * SECOND;

/** The segment to which records are appended. */
interface Segment {
  key: string;
  lines: AuditLine[];
  /** Bytes of the segment as JSON. */
  size: number;
  /** Revision of the segment in the store; 0 if it is not stored yet. */
  revision: number;
}

/**
 * Opens the audit trail of an entry.
 *
 * @param fields.segmentLimit number of segments kept for the whole deployment;
 * the default amounts to 32 MiB of records
 * @param fields.bufferLimit number of records that are buffered during an
 * outage of the store
 * @param fields.onError called with the error of each failed write
 */
export function createAuditTrail(
  {
    store,
    prefix,
    entry,
    clock,
    timer,
    random = createRandom(clock.date().getTime()),
    segmentLimit = 512,
    bufferLimit = 5000,
    onError = () => {},
  }: {
    store: Store;
    prefix: string;
    entry: string;
    clock: Clock;
    timer: Timer;
    random?: Random;
    segmentLimit?: number;
    bufferLimit?: number;
    onError?: (error: StepError) => void;
  },
): AuditTrail {
  // Distinguishes two starts of an entry, even within one millisecond.
  const nonce = Math.floor(random() * 0x100000000).toString(16);
  const origin = `${entry}.${clock.date().getTime()}.${nonce}`;
  const identity = `audit.${origin}`;
  const writer = createValueWriter({ store, clock, timer, random, identity });
  const buffer = createLineBuffer({
    entry,
    origin,
    limit: bufferLimit,
    date: () => clock.date(),
  });
  let segment: Segment | undefined;
  let lastStart = 0;
  let stored = 0;
  let failures = 0;
  let flushing: Promise<boolean> | undefined;
  let cancelFlush: (() => void) | undefined;
  let stopped = false;

  function schedule(wait: Milliseconds): void {
    if (cancelFlush || stopped) return;
    cancelFlush = timer.after(wait, () => {
      cancelFlush = undefined;
      void flush();
    });
  }

  function flush(): Promise<boolean> {
    flushing ??= writeAll().finally(() => {
      flushing = undefined;
      if (buffer.size() > 0) schedule(nextDelay());
    });
    return flushing;
  }

  /**
   * Returns the delay before the next flush. During an outage it grows and is
   * randomized, so that entries do not return to the store at the same moment.
   */
  function nextDelay(): Milliseconds {
    if (failures === 0) return batchDelay;
    const wait = Math.min(maxRetryDelay, batchDelay * 2 ** failures);
    return wait * (0.5 + random() / 2);
  }

  /** Writes until the buffer is empty; returns false after an error. */
  async function writeAll(): Promise<boolean> {
    while (buffer.size() > 0) {
      const error = await writeOnce();
      if (!error) continue;
      failures = Math.min(10, failures + 1);
      onError(error);
      return false;
    }
    failures = 0;
    return true;
  }

  /** Writes buffered records to the current or a new segment by one call. */
  async function writeOnce(): Promise<StepError | undefined> {
    const first = buffer.peek(0)[0]!;
    if (segment && segment.size + lineSize(first) > SEGMENT_SIZE) {
      segment = undefined;
    }
    const isNew = segment === undefined;
    const base = segment ??= createSegment();
    const added = buffer.peek(SEGMENT_SIZE - base.size);
    const lines = [...base.lines, ...added];
    const { key, revision } = base;
    const result = await writer.write([{ key, value: lines, revision }]);
    if (result.isErr()) return result.error;
    const [outcome] = result.value;
    if (outcome?.kind === "conflict") {
      resolveConflict(base, outcome.current);
      return undefined;
    }
    applyWritten(base, lines, outcome!.revision);
    return isNew ? await removeOldest() : undefined;
  }

  /**
   * Creates a segment with a later key than the last one. The key of the
   * current time may be in use if a segment was filled within a millisecond or
   * the wall clock was set back.
   */
  function createSegment(): Segment {
    lastStart = Math.max(clock.date().getTime(), lastStart + 1);
    const key = segmentKey(prefix, new Date(lastStart), entry);
    return { key, lines: [], size: 2, revision: 0 };
  }

  /** Records that the store holds `lines`, and removes them from the buffer. */
  function applyWritten(
    base: Segment,
    lines: AuditLine[],
    revision: number,
  ): void {
    const size = lines.reduce((sum, line) => sum + lineSize(line), 2);
    segment = { key: base.key, lines, size, revision };
    const own = lines.filter((line) => line.origin === origin);
    const before = buffer.size();
    buffer.removeStored(own.at(-1)?.sequence ?? 0);
    stored += Math.max(0, before - buffer.size());
  }

  /**
   * Continues after a conflict with the segment as the store holds it, since an
   * earlier write whose answer was lost may have taken effect. A segment that
   * was removed, or whose key another start of this entry uses, is replaced by
   * a new one.
   */
  function resolveConflict(
    base: Segment,
    current: StoredValue | undefined,
  ): void {
    const lines = parseLines(current?.value);
    const own = lines.some((line) => line.origin === origin);
    if (current && own) applyWritten(base, lines, current.revision);
    else segment = undefined;
  }

  /**
   * Removes the oldest segments above the limit. This takes two calls for each
   * new segment, or one while the limit is not reached.
   */
  async function removeOldest(): Promise<StepError | undefined> {
    const keys = await store.listKeys(segmentPrefix(prefix));
    if (keys.isErr()) return keys.error;
    const excess = Math.max(0, keys.value.length - segmentLimit);
    if (excess === 0) return undefined;
    const oldest = keys.value.slice(0, Math.min(excess, MAX_WRITES_PER_CALL));
    const removed = await store.write(
      oldest.map(({ key, revision }) => ({ key, value: undefined, revision })),
    );
    return removed.isErr() ? removed.error : undefined;
  }

  return {
    record(record) {
      buffer.add(record);
      if (buffer.size() < batchSize || failures > 0) {
        return schedule(nextDelay());
      }
      cancelFlush?.();
      cancelFlush = undefined;
      void flush();
    },
    flush,
    counts: () => ({
      waiting: buffer.size(),
      stored,
      dropped: buffer.dropped(),
    }),
    async stop() {
      stopped = true;
      cancelFlush?.();
      await flushing;
      await flush();
    },
  };
}
