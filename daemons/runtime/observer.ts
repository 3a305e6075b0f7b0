/**
 * Interface through which the daemons write logs and metrics.
 *
 * @module
 */

import type { Fields, LogLevel } from "@dragonflyledge/model";

/** Writes a log line or a metric. */
export interface Observer {
  /** Writes a log line. */
  log(level: LogLevel, text: string, fields: Fields): void;
  /** Adds `value` to a counter, or sets a gauge to it. */
  count(metric: string, value: number, tags: Fields): void;
}
