/**
 * Counts log lines.
 *
 * @module
 */

import { createLevels } from "@dragonflyledge/log";
import type { Log } from "@dragonflyledge/log";
import type { Instruments } from "./instruments.ts";

/** Returns a log that counts lines by level and text and writes to `log`. */
export function createCountingLog(
  fields: { log: Log; instruments: Instruments },
): Log {
  const { log, instruments } = fields;
  const write: Log["write"] = (level, text, extra) => {
    instruments.increment("log_lines_total", { level, text });
    log.write(level, text, extra);
  };
  return createLevels({
    write,
    part: (part) => createCountingLog({ log: log.part(part), instruments }),
  });
}
