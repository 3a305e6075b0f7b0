/**
 * Clock and timers of the operating system.
 *
 * @module
 */

import { performance } from "node:perf_hooks";
import type { Clock, Timer } from "@dragonflyledge/model";

/** Returns the monotonic and the wall clock of this machine. */
export function createSystemClock(): Clock {
  return { now: () => performance.now(), date: () => new Date() };
}

/**
 * Returns timers of the event loop.
 *
 * @param fields.background whether the process may end before they expire;
 * default false
 */
export function createSystemTimer(
  fields: { background?: boolean } = {},
): Timer {
  return {
    after: (delay, task) => {
      const handle = setTimeout(task, delay);
      if (fields.background) handle.unref();
      return () => clearTimeout(handle);
    },
  };
}
