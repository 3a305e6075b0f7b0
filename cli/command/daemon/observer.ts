/**
 * Creates the log and the metrics of a daemon.
 *
 * @module
 */

import process from "node:process";
import { createLog } from "@dragonflyledge/log";
import type { Part } from "@dragonflyledge/log";
import { createMetrics } from "@dragonflyledge/metrics";
import type { LogLevel } from "@dragonflyledge/model";
import type { Observer } from "@dragonflyledge/runtime";

/** Observer of a daemon, to be closed when the daemon has ended. */
export interface DaemonObserver extends Observer {
  /** Sends the metrics that are still buffered and closes the UDP socket. */
  close(): Promise<void>;
}

/**
 * Creates an observer that writes log lines to standard output and sends
 * metrics by UDP. Without a metrics host, metrics are dropped.
 */
export function createObserver(fields: {
  part: Part;
  /** Identity of this process, logged with each line as `process`. */
  id: string;
  /** Lowest level that is logged. */
  level: LogLevel;
  metrics: { host?: string | undefined; port: number; prefix: string };
}): DaemonObserver {
  const log = createLog({
    part: fields.part,
    level: fields.level,
    stream: process.stdout,
    fields: { process: fields.id },
  });
  const metrics = createMetrics({
    host: fields.metrics.host,
    port: fields.metrics.port,
    prefix: fields.metrics.prefix,
    onError: (error) =>
      log.warn("Metrics were not sent.", { reason: error.message }),
  });
  return {
    log: (level, text, extra) => log.write(level, text, extra),
    count: (metric, value, tags) => metrics.record({ metric, value, tags }),
    close: () => metrics.close(),
  };
}
