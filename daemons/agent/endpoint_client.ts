/**
 * Calls the endpoint of the agent over HTTP.
 *
 * @module
 */

import { Pool } from "undici";
import type { Dispatcher } from "undici";
import { ANSWER_PIECE_SIZE } from "@dragonflyledge/model";
import type { AttemptId, Milliseconds } from "@dragonflyledge/model";

/**
 * Time after which an idle connection is closed. It is short, because the
 * network may drop an idle connection without notice.
 */
const KEEP_ALIVE: Milliseconds = 4000;
const CONNECT_TIMEOUT: Milliseconds = 1000;

/** Codes of errors that occur before any byte of the request is sent. */
const UNSENT_CODES = new Set([
  "ECONNREFUSED",
  "EHOSTUNREACH",
  "ENETUNREACH",
  "UND_ERR_CONNECT_TIMEOUT",
]);

/** One call of the endpoint for one attempt of a request. */
export interface EndpointCall {
  attempt: AttemptId;
  path: string;
  contentType: string;
  body: Uint8Array;
  /** Maximum wait for the headers, and between parts of the body. */
  timeout: Milliseconds;
}

/** Callbacks for the answers of the endpoint. */
export interface EndpointHandlers {
  /** Receives the answer in pieces, in order; the last one is empty. */
  onPiece: (
    attempt: AttemptId,
    piece: {
      status: number;
      contentType: string;
      piece: Uint8Array;
      last: boolean;
    },
  ) => void;
  /** The call failed; `sent` is false if the endpoint got no part of it. */
  onFailure: (
    attempt: AttemptId,
    failure: { sent: boolean; cause: string },
  ) => void;
}

/** Client of one endpoint. */
export interface EndpointClient {
  /** Starts a call, whose answer goes to the callbacks. */
  call(call: EndpointCall): void;
  /** Aborts the call of an attempt, if it is still running. */
  abort(attempt: AttemptId): void;
  /** Ends all calls and connections. */
  close(): Promise<void>;
}

/** Creates a client with at most `connections` connections. */
export function createEndpointClient(fields: {
  url: string;
  connections: number;
  handlers: EndpointHandlers;
}): EndpointClient {
  const { handlers } = fields;
  const pool = new Pool(fields.url, {
    connections: fields.connections,
    pipelining: 1,
    keepAliveTimeout: KEEP_ALIVE,
    connect: { timeout: CONNECT_TIMEOUT },
  });
  const running = new Map<string, AbortController>();

  async function run(call: EndpointCall, signal: AbortSignal): Promise<void> {
    const answer = await pool.request({
      method: "POST",
      path: call.path,
      headers: {
        "content-type": call.contentType,
        "x-request-id": call.attempt.request,
        "x-attempt": String(call.attempt.number),
      },
      body: call.body,
      signal,
      headersTimeout: call.timeout,
      bodyTimeout: call.timeout,
    });
    await forwardAnswer(call.attempt, answer);
  }

  async function forwardAnswer(
    attempt: AttemptId,
    answer: Dispatcher.ResponseData,
  ): Promise<void> {
    const status = answer.statusCode;
    const contentType = String(answer.headers["content-type"] ?? "");
    for await (const chunk of answer.body) {
      for (const piece of splitChunk(chunk as Uint8Array)) {
        handlers.onPiece(attempt, { status, contentType, piece, last: false });
      }
    }
    const piece = new Uint8Array(0);
    handlers.onPiece(attempt, { status, contentType, piece, last: true });
  }

  function call(call: EndpointCall): void {
    const key = attemptKey(call.attempt);
    const controller = new AbortController();
    running.set(key, controller);
    run(call, controller.signal)
      .catch((cause: Error & { code?: string }) => {
        const sent = !UNSENT_CODES.has(cause.code ?? "");
        handlers.onFailure(call.attempt, { sent, cause: cause.message });
      })
      .finally(() => running.delete(key));
  }

  return {
    call,
    abort: (attempt) => running.get(attemptKey(attempt))?.abort(),
    close: () => pool.destroy(),
  };
}

function attemptKey(attempt: AttemptId): string {
  return `${attempt.request}/${attempt.number}`;
}

/** Splits a chunk into pieces of at most `ANSWER_PIECE_SIZE` bytes. */
function* splitChunk(chunk: Uint8Array): Generator<Uint8Array> {
  for (let offset = 0; offset < chunk.length; offset += ANSWER_PIECE_SIZE) {
    yield chunk.subarray(offset, offset + ANSWER_PIECE_SIZE);
  }
}
