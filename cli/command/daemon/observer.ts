/**
 * Logs and metrics of a daemon.
 *
 * @module
 */

import process from "node:process";
import { createLog } from "@dragonflyledge/log";
import type { Part } from "@dragonflyledge/log";
import { createMetrics } from "@dragonflyledge/metrics";
import type { LogLevel } from "@dragonflyledge/model";
import type { Observer } from "@dragonflyledge/runtime";

/** An observer whose metrics are flushed when it is closed. */
export interface DaemonObserver extends Observer {
  close(): Promise<void>;
}

/** Creates the observer from the settings of a daemon. */
export function createObserver(fields: {
  part: Part;
  id: string;
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
