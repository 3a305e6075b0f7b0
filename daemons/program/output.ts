/**
 * Log and metrics of a program.
 *
 * @module
 */

import process from "node:process";
import { parseArgs } from "node:util";
import {
  createCountingLog,
  createInstruments,
} from "@dragonflyledge/exposition";
import type { Instruments } from "@dragonflyledge/exposition";
import {
  createBoundedLog,
  createDroppingStream,
  createLog,
} from "@dragonflyledge/log";
import type { Log, Part } from "@dragonflyledge/log";
import type { Clock } from "@dragonflyledge/model";
import { listenHttp } from "./http_listener.ts";

/** Maximum number of log lines with the same text per second. */
const MAX_LINES_PER_SECOND = 40;
/** Time in milliseconds after which an idle connection is closed. */
const METRICS_KEEP_ALIVE = 15_000;
/** Requests for metrics have no body. */
const METRICS_BODY_LIMIT = 0;

/** Log and metrics of one program. */
export interface Output {
  log: Log;
  instruments: Instruments;
}

/**
 * Creates the log on standard output. With the argument `--metrics PORT/PATH`,
 * also serves the metrics on `host` at that port and path.
 */
export function createOutput(fields: {
  part: Part;
  name: string;
  host: string;
  clock: Clock;
}): Output {
  const instruments = createInstruments();
  const { stream, dropped } = createDroppingStream({ target: process.stdout });
  const log = createCountingLog({
    instruments,
    log: createBoundedLog({
      log: createLog({
        part: fields.part,
        level: "info",
        stream,
        fields: { node: fields.name },
      }),
      clock: fields.clock,
      linesPerSecond: MAX_LINES_PER_SECOND,
    }),
  });
  const { values } = parseArgs({ options: { metrics: { type: "string" } } });
  const [port, path] = (values.metrics ?? "").split("/");
  if (port) serveMetrics({ ...fields, port, path: `/${path}`, dropped });
  return { log, instruments };

  function serveMetrics(
    served: { host: string; port: string; path: string; dropped: () => number },
  ): void {
    listenHttp({
      address: `${served.host}:${served.port}`,
      bodyLimit: () => METRICS_BODY_LIMIT,
      keepAlive: METRICS_KEEP_ALIVE,
      handle: async (request) => {
        if (request.path !== served.path) return { status: 404 };
        const text = await instruments.text();
        return {
          status: 200,
          headers: { "content-type": instruments.contentType },
          body: `${text}# log lines dropped: ${served.dropped()}\n`,
        };
      },
      onError: (error) =>
        log.error("Could not serve metrics.", { error: `${error}` }),
    });
  }
}
