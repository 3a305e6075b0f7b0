/**
 * HTTP server with JSON bodies, on which the stand-ins are built.
 *
 * @module
 */

import { createServer } from "node:http";
import type { IncomingHttpHeaders, IncomingMessage } from "node:http";
import type { AddressInfo } from "node:net";
import { Buffer } from "node:buffer";

/** Address on which all stand-ins listen. */
export const HOST = "127.0.0.1";

/** A received request with its body decoded; an empty body becomes {}. */
export interface JsonCall {
  method: string;
  path: string;
  query: URLSearchParams;
  body: Record<string, unknown>;
  headers: IncomingHttpHeaders;
}

/** Status and body of an answer; undefined leaves the request unanswered. */
export type JsonReply = { status: number; body?: unknown } | undefined;

/** A listening stand-in. */
export interface JsonServer {
  /** Host and port, as "host:port". */
  address: string;
  /** Closes all open connections and goes on listening. */
  cut(): void;
  /** Closes all connections and the port. */
  stop(): Promise<void>;
}

/** Starts a server on a free port that answers each request by `handle`. */
export async function startJsonServer(
  handle: (call: JsonCall) => Promise<JsonReply> | JsonReply,
): Promise<JsonServer> {
  const server = createServer((request, response) => {
    void (async () => {
      const url = new URL(request.url ?? "/", "http://host");
      const reply = await handle({
        method: request.method ?? "GET",
        path: url.pathname,
        query: url.searchParams,
        body: await readJson(request),
        headers: request.headers,
      });
      if (!reply) return;
      response.writeHead(reply.status, { "content-type": "application/json" });
      response.end(reply.body === undefined ? "" : JSON.stringify(reply.body));
    })().catch((error) => {
      // A request that its caller closed is not an error of the stand-in.
      if (!request.destroyed) throw error;
    });
  });
  await new Promise<void>((resolve) => server.listen(0, HOST, resolve));
  const { port } = server.address() as AddressInfo;
  return {
    address: `${HOST}:${port}`,
    cut: () => server.closeAllConnections(),
    stop: () =>
      new Promise((resolve) => {
        server.close(() => resolve());
        server.closeAllConnections();
      }),
  };
}

async function readJson(
  request: IncomingMessage,
): Promise<Record<string, unknown>> {
  const chunks: Buffer[] = [];
  for await (const chunk of request) chunks.push(chunk);
  const text = Buffer.concat(chunks).toString();
  return text === "" ? {} : JSON.parse(text);
}
