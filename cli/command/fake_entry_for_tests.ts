/**
 * A fake HTTP API of an entry for tests of commands.
 *
 * @module
 */

import { once } from "node:events";
import { createServer } from "node:http";
import type { AddressInfo } from "node:net";
import { text } from "node:stream/consumers";
import type { Test } from "tap";

/** Request that the fake entry received. */
export interface ReceivedRequest {
  /** Method and path. */
  requestLine: string;
  headers: Record<string, unknown>;
  body: string;
}
/**
 * Status and body of the answer by "METHOD /path". "break" closes the
 * connection without an answer; "silence" never answers.
 */
export type FakeAnswers = Record<
  string,
  [number, unknown] | "break" | "silence"
>;

/**
 * Starts a fake HTTP API of an entry that records requests and gives the
 * answers; other requests get a 404.
 */
export async function startFakeEntry(t: Test, answers: FakeAnswers) {
  const seen: ReceivedRequest[] = [];
  const server = createServer(async (request, response) => {
    const requestLine = `${request.method} ${request.url}`;
    seen.push({
      requestLine,
      headers: request.headers,
      body: await text(request),
    });
    const answer = answers[requestLine] ??
      [404, { message: `no ${requestLine}` }];
    if (answer === "silence") return;
    if (answer === "break") {
      request.socket.destroy();
      return;
    }
    const [status, body] = answer;
    response.writeHead(status);
    response.end(typeof body === "string" ? body : JSON.stringify(body));
  });
  server.listen(0, "127.0.0.1");
  await once(server, "listening");
  t.teardown(() => server.close());
  const url = `http://127.0.0.1:${(server.address() as AddressInfo).port}`;
  return { url, seen, lines: () => seen.map((each) => each.requestLine) };
}

/** Returns a URL on which nothing listens. */
export async function findUnusedAddress(): Promise<string> {
  const server = createServer().listen(0, "127.0.0.1");
  await once(server, "listening");
  const { port } = server.address() as AddressInfo;
  server.close();
  await once(server, "close");
  return `http://127.0.0.1:${port}`;
}
