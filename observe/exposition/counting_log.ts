/**
 * Counts the lines of a log.
 *
 * @module
 */

import type { Log } from "@dragonflyledge/log";
import type { Instruments } from "./instruments.ts";

/** Returns a log whose lines are counted by level and text. */
export function createCountingLog(
  fields: { log: Log; instruments: Instruments },
): Log {
  const { log, instruments } = fields;
  const write: Log["write"] = (level, text, extra) => {
    instruments.increment("log_lines_total", { level, text });
    log.write(level, text, extra);
  };
  return {
    write,
    debug: (text, extra) => write("debug", text, extra),
    info: (text, extra) => write("info", text, extra),
    warn: (text, extra) => write("warn", text, extra),
    error: (text, extra) => write("error", text, extra),
    part: (part) => createCountingLog({ log: log.part(part), instruments }),
  };
}
