/**
 * Limits the rate of log lines.
 *
 * @module
 */

import { SECOND } from "@dragonflyledge/model";
import type { Clock } from "@dragonflyledge/model";
import { createLevels } from "./log.ts";
import type { Log } from "./log.ts";

/** Lines of one text within the current second. */
interface Window {
  startedAt: number;
  written: number;
  omitted: number;
}

/**
 * Returns a log that writes at most `linesPerSecond` lines of each text to
 * `log`. If lines of a text were left out, their number is logged before the
 * first line of the next second.
 */
export function createBoundedLog(fields: {
  log: Log;
  clock: Clock;
  linesPerSecond: number;
}): Log {
  const { log, clock, linesPerSecond } = fields;
  const windows = new Map<string, Window>();

  const write: Log["write"] = (level, text, extra) => {
    const now = clock.now();
    let window = windows.get(text);
    if (!window || now - window.startedAt >= SECOND) {
      if (window && window.omitted > 0) {
        log.warn("Lines left out.", { text, count: window.omitted });
      }
      window = { startedAt: now, written: 0, omitted: 0 };
      windows.set(text, window);
    }
    if (window.written >= linesPerSecond) {
      window.omitted++;
      return;
    }
    window.written++;
    log.write(level, text, extra);
  };

  return createLevels({
    write,
    part: (part) =>
      createBoundedLog({ log: log.part(part), clock, linesPerSecond }),
  });
}
