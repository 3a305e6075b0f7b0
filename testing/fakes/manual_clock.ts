/**
 * Clock and timers for tests, whose time advances only on request.
 *
 * @module
 */

import { setImmediate } from "node:timers";
import type { Clock, Milliseconds, Timer } from "@dragonflyledge/model";

/** Clock and timer whose time advances only when a test advances it. */
export interface ManualClock extends Clock, Timer {
  /** Advances the time by `duration` and calls each task at its due time. */
  advance(duration: Milliseconds): void;
  /** Like `advance`, and runs pending microtasks before and after each task. */
  run(duration: Milliseconds): Promise<void>;
  /** Number of timers that are pending. */
  pending(): number;
}

/** Creates a clock whose time starts at `start`, 0 by default. */
export function createManualClock(
  { start = 0 }: { start?: Milliseconds } = {},
): ManualClock {
  let time = start;
  const waiting = new Set<{ due: Milliseconds; task: () => void }>();

  /**
   * Calls the next task that is due by `end`. Returns whether there was one.
   */
  function callNext(end: Milliseconds): boolean {
    let next: { due: Milliseconds; task: () => void } | undefined;
    for (const entry of waiting) {
      if (entry.due <= end && (!next || entry.due < next.due)) next = entry;
    }
    if (!next) return false;
    waiting.delete(next);
    time = Math.max(time, next.due);
    next.task();
    return true;
  }

  return {
    now: () => time,
    date: () => new Date(Date.UTC(2026, 0, 1) + time),
    after(delay, task) {
      const entry = { due: time + Math.max(0, delay), task };
      waiting.add(entry);
      return () => void waiting.delete(entry);
    },
    advance(duration) {
      const end = time + duration;
      while (callNext(end));
      time = end;
    },
    async run(duration) {
      const end = time + duration;
      do await drainMicrotasks(); while (callNext(end));
      time = end;
      await drainMicrotasks();
    },
    pending: () => waiting.size,
  };
}

/**
 * Resolves after all queued microtasks, and those that they queue, have run.
 */
function drainMicrotasks(): Promise<void> {
  return new Promise((resolve) => setImmediate(resolve));
}
