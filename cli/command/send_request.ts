/**
 * Sends HTTP requests with `undici`.
 *
 * @module
 */

import { request } from "undici";
import { RequestFailure } from "./dependencies.ts";
import type { HttpAnswer, HttpRequest } from "./dependencies.ts";

/** Codes of errors that occur before a connection exists. */
const CONNECT_ERROR_CODES = [
  "ECONNREFUSED",
  "EHOSTUNREACH",
  "ENETUNREACH",
  "ENOTFOUND",
  "EAI_AGAIN",
  "UND_ERR_CONNECT_TIMEOUT",
];

/**
 * Sends a request on a new connection, which is closed afterwards, and reads
 * the whole answer. Rejects with `RequestFailure` if no complete answer comes.
 */
export async function sendRequest(fields: HttpRequest): Promise<HttpAnswer> {
  try {
    const answer = await request(fields.url, {
      method: fields.method,
      headers: fields.headers,
      body: fields.body,
      signal: AbortSignal.timeout(fields.timeout),
      reset: true,
    });
    return { status: answer.statusCode, body: await answer.body.text() };
  } catch (cause) {
    const { code, message, name } = cause as Error & { code?: string };
    throw new RequestFailure({
      message: name === "TimeoutError"
        ? `no answer within ${fields.timeout} ms`
        : code ?? message,
      sent: !CONNECT_ERROR_CODES.includes(code ?? ""),
      cause,
    });
  }
}
