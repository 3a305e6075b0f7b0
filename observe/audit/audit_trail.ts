/**
 * Appends audit records to bounded segments in the store.
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

/** An open trail. */
export interface AuditTrail {
  /** Takes a record; it is stored within about a second. */
  record(record: AuditRecord): void;
  /** Tries to store what is buffered; true if nothing is left. */
  flush(): Promise<boolean>;
  /** Records that wait, were stored, and were dropped since the start. */
  counts(): { waiting: number; stored: number; dropped: number };
  /** Flushes once more and ends. */
  stop(): Promise<void>;
}

/** Longest wait of a record, and records that are written without waiting. */
const batchTime = 1 * SECOND;
const batchSize = 100;
/** Longest wait between attempts during an outage. */
const longestWait = 10 * SECOND;

/** The segment that is extended at present. */
interface Segment {
  key: string;
  lines: AuditLine[];
  size: number;
  revision: number;
}

/**
 * Opens a trail.
 *
 * @param fields.segmentLimit segments kept in the deployment; the default is
 * 32 MiB of records
 * @param fields.bufferLimit records kept during an outage of the store
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
  // Tells two starts of an entry apart, even within one millisecond.
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
      if (buffer.size() > 0) schedule(nextWait());
    });
    return flushing;
  }

  /** During an outage, entries must not return at the same moment. */
  function nextWait(): Milliseconds {
    if (failures === 0) return batchTime;
    const wait = Math.min(longestWait, batchTime * 2 ** failures);
    return wait * (0.5 + random() / 2);
  }

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

  /** Extends the segment, or begins one, by one write. */
  async function writeOnce(): Promise<StepError | undefined> {
    const first = buffer.next(0)[0]!;
    if (segment && segment.size + lineSize(first) > SEGMENT_SIZE) {
      segment = undefined;
    }
    const begun = segment === undefined;
    const base = segment ??= begin();
    const added = buffer.next(SEGMENT_SIZE - base.size);
    const lines = [...base.lines, ...added];
    const { key, revision } = base;
    const result = await writer.write([{ key, value: lines, revision }]);
    if (result.isErr()) return result.error;
    const [outcome] = result.value;
    if (outcome?.kind === "conflict") {
      adopt(base, outcome.current);
      return undefined;
    }
    accept(base, lines, outcome!.revision);
    return begun ? await removeOldest() : undefined;
  }

  /**
   * Begins a segment after the last one: its own key may be taken if a segment
   * was filled within a millisecond, or the wall clock was set back.
   */
  function begin(): Segment {
    lastStart = Math.max(clock.date().getTime(), lastStart + 1);
    const key = segmentKey(prefix, new Date(lastStart), entry);
    return { key, lines: [], size: 2, revision: 0 };
  }

  function accept(base: Segment, lines: AuditLine[], revision: number): void {
    const size = lines.reduce((sum, line) => sum + lineSize(line), 2);
    segment = { key: base.key, lines, size, revision };
    const own = lines.filter((line) => line.origin === origin);
    const before = buffer.size();
    buffer.confirm(own.at(-1)?.sequence ?? 0);
    stored += Math.max(0, before - buffer.size());
  }

  /**
   * Continues with what the store holds: an earlier write whose answer stayed
   * open may have taken effect. A segment that was removed, or whose key
   * another start of this entry took, is replaced.
   */
  function adopt(base: Segment, current: StoredValue | undefined): void {
    const lines = parseLines(current?.value);
    const own = lines.some((line) => line.origin === origin);
    if (current && own) accept(base, lines, current.revision);
    else segment = undefined;
  }

  /** Two calls for each new segment, or one while there are few. */
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
        return schedule(nextWait());
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
