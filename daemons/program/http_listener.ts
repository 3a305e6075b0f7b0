/**
 * HTTP server that reads each request whole before it is handled.
 *
 * @module
 */

import { createServer } from "node:http";
import type { IncomingMessage, Server, ServerResponse } from "node:http";
import { Buffer } from "node:buffer";
import type { Milliseconds } from "@dragonflyledge/model";

/** A request whose body has been read. */
export interface HttpRequest {
  method: string;
  /** Path with the query, as in the request line. */
  path: string;
  headers: IncomingMessage["headers"];
  body: Uint8Array;
}

/** An HTTP answer. A body is sent as JSON unless the headers say otherwise. */
export interface HttpAnswer {
  status: number;
  body?: string;
  headers?: Record<string, string>;
}

/** A listening server. */
export interface HttpListener {
  /** Returns the number of requests that are being read or answered. */
  activeRequests(): number;
  /** Returns the number of open connections. */
  connections(): Promise<number>;
  /** Makes each further answer close its connection. */
  closeAfterAnswers(): void;
  /** Stops listening and closes idle connections. */
  close(): void;
}

const TOO_LARGE = 413;
const INTERNAL_ERROR = 500;

/**
 * Listens on `address`, given as `host:port`.
 *
 * @param fields.bodyLimit returns the maximum size of a body in bytes; a larger
 * one is answered with status 413
 * @param fields.keepAlive time after which an idle connection is closed
 * @param fields.onError receives errors of the server and of `handle`, which
 * are answered with status 500
 */
export function listenHttp(fields: {
  address: string;
  bodyLimit: () => number;
  keepAlive: Milliseconds;
  handle: (request: HttpRequest) => Promise<HttpAnswer> | HttpAnswer;
  onError: (error: Error) => void;
}): HttpListener {
  const [host, port] = fields.address.split(":");
  let active = 0;
  let closing = false;

  async function serve(
    incoming: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    active++;
    try {
      const body = await readBody(incoming, fields.bodyLimit());
      const answer = body === undefined
        ? { status: TOO_LARGE }
        : await fields.handle({
          method: incoming.method ?? "GET",
          path: incoming.url ?? "/",
          headers: incoming.headers,
          body,
        });
      writeAnswer(response, answer, closing);
    } catch (error) {
      fields.onError(error as Error);
      if (!response.headersSent) {
        writeAnswer(response, { status: INTERNAL_ERROR }, true);
      }
    } finally {
      active--;
    }
  }

  const server: Server = createServer(
    { keepAliveTimeout: fields.keepAlive, noDelay: true },
    (incoming, response) => void serve(incoming, response),
  );
  server.on("error", fields.onError);
  server.listen(Number(port), host);
  return {
    activeRequests: () => active,
    connections: () =>
      new Promise((resolve) =>
        server.getConnections((_, count) => resolve(count ?? 0))
      ),
    closeAfterAnswers: () => {
      closing = true;
    },
    close: () => {
      server.close();
      server.closeIdleConnections();
    },
  };
}

async function readBody(
  incoming: IncomingMessage,
  limit: number,
): Promise<Uint8Array | undefined> {
  const chunks: Buffer[] = [];
  let length = 0;
  for await (const chunk of incoming) {
    length += chunk.length;
    if (length <= limit) chunks.push(chunk);
  }
  return length > limit ? undefined : Buffer.concat(chunks);
}

function writeAnswer(
  response: ServerResponse,
  answer: HttpAnswer,
  closing: boolean,
): void {
  const body = answer.body ?? "";
  response.writeHead(answer.status, {
    ...(body === "" ? {} : { "content-type": "application/json" }),
    "content-length": Buffer.byteLength(body),
    ...(closing ? { connection: "close" } : {}),
    ...answer.headers,
  });
  response.end(body);
}
