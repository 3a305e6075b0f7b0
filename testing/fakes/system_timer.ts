/**
 * Clock and timers of the system, for fakes that run as servers.
 *
 * @module
 */

import { clearTimeout, setTimeout } from "node:timers";
import { performance } from "node:perf_hooks";
import type { Clock, Timer } from "@dragonflyledge/model";

/** Longest delay that `setTimeout` accepts; a longer one would become 1 ms. */
const MAX_TIMER_DELAY = 0x7fffffff;

/**
 * Creates a clock and timer of the system. Pending timers don't keep the
 * process running. Longer delays than `MAX_TIMER_DELAY` are shortened to it.
 */
export function createSystemTime(): Clock & Timer {
  return {
    now: () => performance.now(),
    date: () => new Date(),
    after(delay, task) {
      const timeout = setTimeout(task, Math.min(delay, MAX_TIMER_DELAY));
      timeout.unref();
      return () => clearTimeout(timeout);
    },
  };
}
