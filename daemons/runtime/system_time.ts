/**
 * Clock and timers of the operating system.
 *
 * @module
 */

import { performance } from "node:perf_hooks";
import type { Clock, Timer } from "@dragonflyledge/model";

/** Monotonic and wall-clock time of this machine. */
export function createSystemClock(): Clock {
  return { now: () => performance.now(), date: () => new Date() };
}

/** Timers of the event loop. */
export function createSystemTimer(): Timer {
  return {
    after: (delay, task) => {
      const handle = setTimeout(task, delay);
      return () => clearTimeout(handle);
    },
  };
}
