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
import type { Clock, Timer } from "@dragonflyledge/model";
import type { ProcessSettings } from "@dragonflyledge/platform";
import { createClientControl } from "./client_control.ts";
import type { ClientControl } from "./client_control.ts";
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
  /** Limits that all listeners of the program share. */
  clients: ClientControl;
}

/**
 * Creates the log on standard output. With the argument `--metrics PORT/PATH`,
 * also serves the metrics at that port and path of the machine.
 */
export function createOutput(fields: {
  part: Part;
  settings: ProcessSettings;
  clock: Clock;
  timer: Timer;
}): Output {
  const { settings, clock, timer } = fields;
  const instruments = createInstruments();
  const { stream, dropped } = createDroppingStream({ target: process.stdout });
  const log = createCountingLog({
    instruments,
    log: createBoundedLog({
      log: createLog({
        part: fields.part,
        level: "info",
        stream,
        fields: { node: settings.name },
      }),
      clock,
      linesPerSecond: MAX_LINES_PER_SECOND,
    }),
  });
  const clients = createClientControl({
    limits: settings.clientLimits,
    clock,
    timer,
    log,
    instruments,
  });
  const { values } = parseArgs({ options: { metrics: { type: "string" } } });
  const [port, path] = (values.metrics ?? "").split("/");
  const { host } = settings;
  if (port) serveMetrics({ host, port, path: `/${path}`, dropped });
  return { log, instruments, clients };

  function serveMetrics(
    served: { host: string; port: string; path: string; dropped: () => number },
  ): void {
    listenHttp({
      address: `${served.host}:${served.port}`,
      name: "metrics",
      clients,
      forPlatform: true,
      bodyLimit: () => METRICS_BODY_LIMIT,
      idleTimeout: () => METRICS_KEEP_ALIVE,
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
