/**
 * HTTP requests with `undici`.
 *
 * @module
 */

import { request } from "undici";
import { RequestFailure } from "./dependencies.ts";
import type { HttpAnswer, HttpRequest } from "./dependencies.ts";

/** Errors that arise before a connection exists. */
const CONNECT_ERROR_CODES = [
  "ECONNREFUSED",
  "EHOSTUNREACH",
  "ENETUNREACH",
  "ENOTFOUND",
  "EAI_AGAIN",
  "UND_ERR_CONNECT_TIMEOUT",
];

/** Sends one request on a connection of its own and reads the whole answer. */
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
