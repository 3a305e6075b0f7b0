/**
 * Fake endpoint: an HTTP server that runs the work posted to it.
 *
 * @module
 */

import { Buffer } from "node:buffer";
import type { IncomingMessage, ServerResponse } from "node:http";
import type { Clock, Milliseconds, Timer } from "@dragonflyledge/model";
import {
  isObject,
  listenHttp,
  type ListeningServer,
  readBody,
} from "./http.ts";
import { createSystemTime } from "./system_timer.ts";

/** Faults of the endpoint. A test sets and clears them at any time. */
export interface EndpointFaults {
  /** Requests are recorded and never answered. */
  hang: boolean;
  /** The work runs, and the connection is closed after half of the answer. */
  dieInAnswer: boolean;
  /** The work runs, and is answered with status 500. */
  failAll: boolean;
  /**
   * Connections are closed after the request was read, before the work runs.
   */
  reset: boolean;
}

/** One execution of a request. */
export interface Execution {
  /** Value of the header `x-request-id`. */
  request: string;
  path: string;
  body: string;
  /** Time of the endpoint's clock at which the work started. */
  started: Milliseconds;
  /**
   * Absent while the work runs, and if the caller disconnected before its end.
   */
  ended?: Milliseconds;
}

/** A running fake endpoint. */
export interface EndpointServer extends ListeningServer {
  readonly faults: EndpointFaults;
  /** All executions since the start, in the order in which they started. */
  readonly executions: Execution[];
  /** Number of requests in execution now, and its maximum so far. */
  readonly running: { now: number; peak: number };
}

/**
 * Options that the JSON body of a request may contain, such as
 * `{"runMs":20,"status":200,"size":100}`.
 */
interface WorkOptions {
  /** Run time of the work; 0 by default. */
  runMs: Milliseconds;
  /** Status of the answer; 200 by default. */
  status: number;
  /** Length of the answer's body in bytes. By default the body is echoed. */
  size?: number;
}

/** Starts an endpoint that runs any request, whatever its path and method. */
export async function createEndpointServer(
  { host, port, clock }: {
    host?: string;
    port?: number;
    clock?: Clock & Timer;
  } = {},
): Promise<EndpointServer> {
  const time = clock ?? createSystemTime();
  const executions: Execution[] = [];
  const running = { now: 0, peak: 0 };
  const faults = {
    hang: false,
    dieInAnswer: false,
    failAll: false,
    reset: false,
  };

  async function handle(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const body = await readBody(request);
    if (!body) return;
    if (faults.reset) return void response.destroy();
    const execution: Execution = {
      request: String(request.headers["x-request-id"] ?? ""),
      path: request.url ?? "",
      body: body.toString(),
      started: time.now(),
    };
    executions.push(execution);
    running.peak = Math.max(running.peak, ++running.now);
    const work = parseWorkOptions(body);
    const closed = new Promise((done) => response.once("close", done));
    if (!faults.hang) {
      let cancel = () => {};
      const ran = new Promise<void>((done) => {
        cancel = time.after(work.runMs, () => {
          execution.ended = time.now();
          done();
        });
      });
      await Promise.race([ran, closed]);
      cancel();
      answer(response, work, body);
    }
    await closed;
    running.now--;
  }

  function answer(
    response: ServerResponse,
    work: WorkOptions,
    body: Buffer,
  ): void {
    if (response.destroyed) return;
    const content = work.size === undefined ? body : Buffer.alloc(work.size, 1);
    response.writeHead(faults.failAll ? 500 : work.status, {
      "content-type": "application/json",
      "content-length": String(content.length + (faults.dieInAnswer ? 1 : 0)),
    });
    if (!faults.dieInAnswer) return void response.end(content);
    const half = content.subarray(0, Math.ceil(content.length / 2));
    response.write(half, () => response.destroy());
  }

  const listening = await listenHttp({
    host,
    port,
    handle: (request, response) => void handle(request, response),
  });
  return { ...listening, faults, executions, running };
}

function parseWorkOptions(body: Buffer): WorkOptions {
  let value: unknown;
  try {
    value = JSON.parse(body.toString());
  } catch {
    value = undefined;
  }
  const options = isObject(value) ? value : {};
  const readNumber = (field: string) => {
    const number = options[field];
    return typeof number === "number" && number >= 0 ? number : undefined;
  };
  return {
    runMs: readNumber("runMs") ?? 0,
    status: readNumber("status") ?? 200,
    size: readNumber("size"),
  };
}
