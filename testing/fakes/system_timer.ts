/**
 * Timers and clock of the system, for stand-ins that run as servers.
 *
 * @module
 */

import { clearTimeout, setTimeout } from "node:timers";
import { performance } from "node:perf_hooks";
import type { Clock, Timer } from "@dragonflyledge/model";

/** Longest delay that the system's timers accept. */
const MAX_TIMER_DELAY = 0x7fffffff;

/** Returns a clock and timer that keep no process alive. */
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
