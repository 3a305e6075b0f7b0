/**
 * HTTP server with routes, size limits and timeouts.
 *
 * @module
 */

import { createServer } from "node:http";
import type { IncomingMessage, Server, ServerResponse } from "node:http";
import type { AddressInfo } from "node:net";
import { Buffer } from "node:buffer";
import { err, ok } from "neverthrow";
import type { Result } from "neverthrow";
import { ErrorCode, KIBIBYTE, SECOND, StepError } from "@dragonflyledge/model";
import type { Milliseconds } from "@dragonflyledge/model";

/** Maximum size of all headers of a request in bytes. */
const HEADER_LIMIT = 16 * KIBIBYTE;
const HEADERS_TIMEOUT: Milliseconds = 5 * SECOND;
/** Time in which a whole request, with its body, must arrive. */
const REQUEST_TIMEOUT: Milliseconds = 30 * SECOND;
/** Time after which an idle connection is closed. */
const KEEP_ALIVE: Milliseconds = 5 * SECOND;

/** A request whose body has been read. */
export interface HttpRequest {
  method: string;
  path: string;
  query: URLSearchParams;
  headers: IncomingMessage["headers"];
  body: Uint8Array;
  /** Calls `task` if the caller disconnects before it is answered. */
  onDisconnect(task: () => void): void;
}

/** An HTTP answer. */
export interface HttpAnswer {
  status: number;
  headers?: Record<string, string>;
  body: Uint8Array | string;
}

/** Handles a route. The values of the named path parts are passed in order. */
export type Handler = (
  request: HttpRequest,
  ...parts: string[]
) => Promise<HttpAnswer> | HttpAnswer;

/** A method, a path pattern such as `/v1/jobs/:id`, and its handler. */
export interface Route {
  method: string;
  pattern: string;
  handler: Handler;
}

/** A running HTTP server. */
export interface HttpServer {
  readonly port: number;
  /** Stops accepting connections and waits until open requests are answered. */
  close(): Promise<void>;
}

/**
 * Starts an HTTP server. Port 0 picks a free port. Fails with `DFL_SESSION` if
 * the port cannot be opened.
 */
export async function startHttpServer(fields: {
  host: string;
  port: number;
  routes: Route[];
  /** Maximum size of a request body in bytes. */
  bodyLimit: number;
  /** Maximum number of connections; further ones are closed at once. */
  connections: number;
}): Promise<Result<HttpServer, StepError>> {
  const server = createServer({
    maxHeaderSize: HEADER_LIMIT,
    headersTimeout: HEADERS_TIMEOUT,
    requestTimeout: REQUEST_TIMEOUT,
    keepAliveTimeout: KEEP_ALIVE,
  });
  server.maxConnections = fields.connections;
  let closing = false;
  let active = 0;
  // A connection on which nothing was sent does not count as idle. It would
  // keep the server open until the headers time out, for 30 s and more.
  const endWhenIdle = () => {
    if (closing && active === 0) server.closeAllConnections();
  };
  server.on("request", (incoming, response) => {
    active++;
    response.once("close", () => {
      active--;
      endWhenIdle();
    });
    handle({ ...fields, incoming, response, closing: () => closing })
      .catch((cause: Error) => {
        writeAnswer(response, problem(500, cause.message), true);
      });
  });
  const failure = await bind(server, fields.host, fields.port);
  if (failure) return err(failure);
  return ok({
    port: (server.address() as AddressInfo).port,
    close: () => {
      closing = true;
      const closed = closeServer(server);
      endWhenIdle();
      return closed;
    },
  });
}

async function handle(fields: {
  routes: Route[];
  bodyLimit: number;
  incoming: IncomingMessage;
  response: ServerResponse;
  closing: () => boolean;
}): Promise<void> {
  const { incoming, response } = fields;
  const url = new URL(incoming.url ?? "/", "http://entry");
  const found = findRoute(fields.routes, incoming.method ?? "", url.pathname);
  if ("status" in found) {
    incoming.resume();
    return writeAnswer(response, found, fields.closing());
  }
  const body = await readBody(incoming, fields.bodyLimit);
  if (body === undefined) {
    const text = `the body exceeds ${fields.bodyLimit} bytes`;
    return writeAnswer(response, problem(413, text), true);
  }
  const request: HttpRequest = {
    method: incoming.method ?? "",
    path: url.pathname,
    query: url.searchParams,
    headers: incoming.headers,
    body,
    onDisconnect: (task) => {
      response.once("close", () => {
        if (!response.writableEnded) task();
      });
    },
  };
  const answer = await found.handler(request, ...found.parts);
  writeAnswer(response, answer, fields.closing());
}

function findRoute(
  routes: Route[],
  method: string,
  path: string,
): { handler: Handler; parts: string[] } | HttpAnswer {
  const allowed: string[] = [];
  for (const route of routes) {
    const parts = matchPath(route.pattern, path);
    if (parts === undefined) continue;
    if (route.method === method) return { handler: route.handler, parts };
    allowed.push(route.method);
  }
  if (allowed.length === 0) return problem(404, `no such path: ${path}`);
  const answer = problem(405, `${path} allows ${allowed.join(", ")}`);
  return {
    ...answer,
    headers: { ...answer.headers, allow: allowed.join(", ") },
  };
}

/** Returns the values of the named parts, or undefined if there is no match. */
function matchPath(pattern: string, path: string): string[] | undefined {
  const wanted = pattern.split("/");
  const given = path.split("/");
  if (wanted.length !== given.length) return undefined;
  const parts: string[] = [];
  for (const [index, part] of wanted.entries()) {
    const value = given[index]!;
    if (part.startsWith(":")) {
      const decoded = decodePart(value);
      if (decoded === undefined) return undefined;
      parts.push(decoded);
    } else if (part !== value) {
      return undefined;
    }
  }
  return parts;
}

function decodePart(value: string): string | undefined {
  try {
    return decodeURIComponent(value);
  } catch {
    return undefined;
  }
}

/** Reads the body; undefined if it is too large. */
async function readBody(
  incoming: IncomingMessage,
  limit: number,
): Promise<Uint8Array | undefined> {
  const chunks: Uint8Array[] = [];
  let size = 0;
  for await (const chunk of incoming as AsyncIterable<Uint8Array>) {
    size += chunk.length;
    if (size > limit) return undefined;
    chunks.push(chunk);
  }
  return Buffer.concat(chunks);
}

function writeAnswer(
  response: ServerResponse,
  answer: HttpAnswer,
  last: boolean,
): void {
  if (response.headersSent || response.destroyed) return;
  const body = Buffer.from(answer.body as Uint8Array);
  response.writeHead(answer.status, {
    ...answer.headers,
    "content-length": String(body.length),
    ...(last ? { connection: "close" } : {}),
  });
  response.end(body);
}

/** Creates an answer with a JSON body. */
export function json(
  status: number,
  value: unknown,
  headers: Record<string, string> = {},
): HttpAnswer {
  return {
    status,
    headers: { "content-type": "application/json", ...headers },
    body: JSON.stringify(value) + "\n",
  };
}

/** Creates an answer whose JSON body contains an error with the message. */
export function problem(status: number, message: string): HttpAnswer {
  return json(status, { error: { code: ErrorCode.Usage, message } });
}

function bind(
  server: Server,
  host: string,
  port: number,
): Promise<StepError | undefined> {
  return new Promise((resolve) => {
    server.once("error", (cause) => {
      const fields = {
        code: ErrorCode.Session,
        step: "listen",
        peer: `${host}:${port}`,
        message: cause.message,
        hint: "Check that the address is this machine's and the port is free.",
        cause,
      };
      resolve(new StepError(fields));
    });
    server.listen(port, host, () => resolve(undefined));
  });
}

function closeServer(server: Server): Promise<void> {
  return new Promise((resolve) => {
    server.close(() => resolve());
    server.closeIdleConnections();
  });
}
