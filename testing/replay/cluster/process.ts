/**
 * A process that can be paused or die.
 *
 * @module
 */

import type { Milliseconds } from "@dragonflyledge/model";
import type { EventHeap } from "../event_heap.ts";

/** Life of one process. A restart creates another one. */
export interface Process {
  alive: boolean;
  pausedUntil: Milliseconds;
  /** Does the task now, after the pause, or never if the process has died. */
  whenRunning(task: () => void): void;
  /** Repeats the task while the process lives. */
  repeat(interval: Milliseconds, task: () => void): void;
}

/** Creates a live process. */
export function createProcess(heap: EventHeap): Process {
  const process: Process = {
    alive: true,
    pausedUntil: 0,
    whenRunning(task) {
      if (!process.alive) return;
      if (heap.now >= process.pausedUntil) return task();
      heap.at(process.pausedUntil, () => process.whenRunning(task));
    },
    repeat(interval, task) {
      heap.after(interval, () =>
        process.whenRunning(() => {
          task();
          process.repeat(interval, task);
        }));
    },
  };
  return process;
}
