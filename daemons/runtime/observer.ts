/**
 * How the daemon writes logs and metrics.
 *
 * @module
 */

import type { Fields, LogLevel } from "@dragonflyledge/model";

/** Writes a log line or a metric. */
export interface Observer {
  log(level: LogLevel, text: string, fields: Fields): void;
  count(metric: string, value: number, tags: Fields): void;
}
