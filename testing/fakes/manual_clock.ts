/**
 * Virtual time for tests.
 *
 * @module
 */

import { setImmediate } from "node:timers";
import type { Clock, Milliseconds, Timer } from "@dragonflyledge/model";

/** Clock and timer whose time moves only when a test moves it. */
export interface ManualClock extends Clock, Timer {
  /** Moves the time and calls each due task at its own time. */
  advance(duration: Milliseconds): void;
  /** Like `advance`, and lets pending promises settle around each task. */
  run(duration: Milliseconds): Promise<void>;
  /** Timers that are waiting. */
  pending(): number;
}

/** Returns a clock that starts at `start` (default 0). */
export function createManualClock(
  { start = 0 }: { start?: Milliseconds } = {},
): ManualClock {
  let time = start;
  const waiting = new Set<{ due: Milliseconds; task: () => void }>();

  /** Calls the next task due by `end`; false if there is none. */
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

/** Resolves after the microtasks queued so far and their followers ran. */
function drainMicrotasks(): Promise<void> {
  return new Promise((resolve) => setImmediate(resolve));
}
