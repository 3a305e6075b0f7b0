/**
 * Helpers shared by the fakes that are HTTP servers.
 *
 * @module
 */

import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from "node:http";
import type { AddressInfo } from "node:net";
import { Buffer } from "node:buffer";

/** A listening HTTP server. */
export interface ListeningServer {
  readonly host: string;
  readonly port: number;
  readonly url: string;
  /** Closes the server and all of its connections. */
  stop(): Promise<void>;
}

/**
 * Listens on `host`, by default on loopback. Port 0 selects a free port.
 * Rejects if the server can't listen.
 */
export async function listenHttp(
  { host = "127.0.0.1", port = 0, handle }: {
    host?: string;
    port?: number;
    handle: (request: IncomingMessage, response: ServerResponse) => void;
  },
): Promise<ListeningServer> {
  const server = createServer((request, response) => {
    request.on("error", () => {});
    response.on("error", () => {});
    handle(request, response);
  });
  // The server closes no idle connection, so that the client under test decides
  // how long it stays open.
  server.keepAliveTimeout = 0;
  await new Promise<void>((resolve, reject) => {
    server.once("error", reject);
    server.listen(port, host, resolve);
  });
  const bound = (server.address() as AddressInfo).port;
  const url = `http://${host}:${bound}`;
  return { host, port: bound, url, stop: () => stopServer(server) };
}

/** Reads the whole body. Returns `undefined` if the caller disconnected. */
export async function readBody(
  request: IncomingMessage,
): Promise<Buffer | undefined> {
  const chunks: Buffer[] = [];
  try {
    for await (const chunk of request) chunks.push(chunk as Buffer);
  } catch {
    return undefined;
  }
  return Buffer.concat(chunks);
}

/**
 * Reads a JSON object; an empty body counts as an empty object. Returns
 * `undefined` for anything else.
 */
export async function readObject(
  request: IncomingMessage,
): Promise<Record<string, unknown> | undefined> {
  const body = await readBody(request);
  try {
    const value: unknown = body?.length ? JSON.parse(body.toString()) : {};
    return isObject(value) ? value : undefined;
  } catch {
    return undefined;
  }
}

/** Returns whether the value is an object, and neither `null` nor an array. */
export function isObject(value: unknown): value is Record<string, unknown> {
  return typeof value === "object" && value !== null && !Array.isArray(value);
}

/** Answers with a JSON value, unless the connection is closed already. */
export function answerJson(
  response: ServerResponse,
  status: number,
  value: unknown,
): void {
  if (response.destroyed) return;
  response.writeHead(status, { "content-type": "application/json" });
  response.end(JSON.stringify(value));
}

function stopServer(server: Server): Promise<void> {
  return new Promise((resolve) => {
    server.close(() => resolve());
    server.closeAllConnections();
  });
}
