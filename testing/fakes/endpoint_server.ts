/**
 * Stand-in for an endpoint: runs the work that is posted to it.
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
  /** The work runs, and the answer never comes. */
  hang: boolean;
  /** The work runs, and the connection breaks in the middle of the answer. */
  dieInAnswer: boolean;
  /** Every request is answered with status 500. */
  failAll: boolean;
  /** Connections are reset before the work runs. */
  reset: boolean;
}

/** One run of a request. */
export interface Execution {
  /** From the header `x-request-id`. */
  request: string;
  path: string;
  body: string;
  started: Milliseconds;
  /** Absent while it runs, and if the caller left before its end. */
  ended?: Milliseconds;
}

/** A running endpoint. */
export interface EndpointServer extends ListeningServer {
  readonly faults: EndpointFaults;
  readonly executions: Execution[];
  /** Requests that run now, and the most that ever ran together. */
  readonly running: { now: number; peak: number };
}

/** What the body may state, as JSON: `{"runMs":20,"status":200,"size":100}`. */
interface WorkOptions {
  runMs: Milliseconds;
  status: number;
  /** Length of the answer in bytes. By default the body is echoed. */
  size?: number;
}

/** Starts an endpoint that accepts POST on any path. */
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
    const left = new Promise((done) => response.once("close", done));
    if (!faults.hang) {
      let cancel = () => {};
      const ran = new Promise<void>((done) => {
        cancel = time.after(work.runMs, () => {
          execution.ended = time.now();
          done();
        });
      });
      await Promise.race([ran, left]);
      cancel();
      answer(response, work, body);
    }
    await left;
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
  const stated = isObject(value) ? value : {};
  const numberOr = (field: string) => {
    const number = stated[field];
    return typeof number === "number" && number >= 0 ? number : undefined;
  };
  return {
    runMs: numberOr("runMs") ?? 0,
    status: numberOr("status") ?? 200,
    size: numberOr("size"),
  };
}
