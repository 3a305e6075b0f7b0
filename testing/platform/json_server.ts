/**
 * HTTP server of JSON bodies for stand-ins.
 *
 * @module
 */

import { createServer } from "node:http";
import type { IncomingHttpHeaders, IncomingMessage } from "node:http";
import type { AddressInfo } from "node:net";
import { Buffer } from "node:buffer";

/** Host of all stand-ins. */
export const HOST = "127.0.0.1";

/** A call with its body decoded. */
export interface JsonCall {
  method: string;
  path: string;
  query: URLSearchParams;
  body: Record<string, unknown>;
  headers: IncomingHttpHeaders;
}

/** Status and body; undefined leaves the call without an answer. */
export type JsonReply = { status: number; body?: unknown } | undefined;

/** A listening stand-in. */
export interface JsonServer {
  address: string;
  /** Closes all connections. */
  cut(): void;
  stop(): Promise<void>;
}

/** Listens on a free port. */
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
      // A caller that closes its connection is no error of the stand-in.
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
