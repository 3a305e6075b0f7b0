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

/** Lines of one text in a second. */
const MAX_LINES_PER_SECOND = 40;
const METRICS_KEEP_ALIVE = 15_000;
/** Requests for metrics have no body. */
const METRICS_BODY_LIMIT = 0;

/** Where a program tells what it does. */
export interface Output {
  log: Log;
  instruments: Instruments;
}

/**
 * Creates the log on standard output, and serves the metrics at the port and
 * path that the argument `--metrics PORT/PATH` names.
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
      onError: (error) => log.error("Metrics fail.", { error: `${error}` }),
    });
  }
}
