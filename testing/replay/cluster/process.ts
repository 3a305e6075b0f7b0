/**
 * Simulated process of an entry or agent, which can be paused or killed.
 *
 * @module
 */

import type { Milliseconds } from "@dragonflyledge/model";
import type { EventHeap } from "../event_heap.ts";

/** One incarnation of a simulated process. A restart creates a new one. */
export interface Process {
  /** Becomes false when the process exits or is killed, and stays false. */
  alive: boolean;
  /** Virtual time at which the current or last pause ends. */
  pausedUntil: Milliseconds;
  /**
   * Calls back at once, or at the end of the pause if the process is paused.
   * Never calls back if the process is dead by then.
   */
  whenRunning(callback: () => void): void;
  /**
   * Calls back every interval while the process is alive. A call that falls
   * into a pause is made when the pause ends, and the next interval starts
   * then.
   */
  repeat(interval: Milliseconds, callback: () => void): void;
}

/** Creates a process that is alive and not paused. */
export function createProcess(heap: EventHeap): Process {
  const process: Process = {
    alive: true,
    pausedUntil: 0,
    whenRunning(callback) {
      if (!process.alive) return;
      if (heap.now >= process.pausedUntil) return callback();
      heap.at(process.pausedUntil, () => process.whenRunning(callback));
    },
    repeat(interval, callback) {
      heap.after(interval, () =>
        process.whenRunning(() => {
          callback();
          process.repeat(interval, callback);
        }));
    },
  };
  return process;
}
