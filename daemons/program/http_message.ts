/**
 * Requests and answers as the programs handle them.
 *
 * @module
 */

import { Buffer } from "node:buffer";
import type { IncomingMessage, ServerResponse } from "node:http";
import type { Shortage } from "./byte_budget.ts";

/** What the headers tell of a request. */
export interface HttpRequestHead {
  method: string;
  /** Path with the query, as in the request line. */
  path: string;
  headers: IncomingMessage["headers"];
}

/** A request whose body has been read. */
export interface HttpRequest extends HttpRequestHead {
  body: Uint8Array;
}

/** An HTTP answer. A body is sent as JSON unless the headers say otherwise. */
export interface HttpAnswer {
  status: number;
  body?: string;
  headers?: Record<string, string>;
}

/** Whether the body of a request is read. */
export type Admission =
  /** The answer, for which the body is not needed. */
  | { kind: "answered"; answer: HttpAnswer }
  /** Read it, on behalf of `owner` or else of the client's address. */
  | { kind: "admitted"; owner?: string };

const RETRY_AFTER = { "retry-after": "1" };
const TOO_MANY_REQUESTS = 429;
const UNAVAILABLE = 503;

/** The answer to a request that was not handled for lack of memory. */
export function shortageAnswer(why: Shortage): HttpAnswer {
  const status = why === "owner" ? TOO_MANY_REQUESTS : UNAVAILABLE;
  return { status, headers: RETRY_AFTER };
}

/** Length of the body in bytes; undefined if it comes in chunks. */
export function declaredLength(incoming: IncomingMessage): number | undefined {
  if (incoming.headers["transfer-encoding"] !== undefined) return undefined;
  return Number(incoming.headers["content-length"] ?? 0);
}

/** Writes the headers of an answer; `closing` ends the connection after it. */
export function writeHead(
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
}

/** Writes a whole answer; `closing` ends the connection after it. */
export function writeAnswer(
  response: ServerResponse,
  answer: HttpAnswer,
  closing: boolean,
): void {
  writeHead(response, answer, closing);
  response.end(answer.body ?? "");
}
