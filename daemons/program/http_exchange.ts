/**
 * Serves one request: its headers are checked before its body is received, and
 * what it holds is taken from the budget.
 *
 * Load pattern: bodies at paths that no one serves, or far over the limit, and
 * answers that their clients don't read.
 *
 * @module
 */

import { Buffer } from "node:buffer";
import type { IncomingMessage, ServerResponse } from "node:http";
import { KIBIBYTE } from "@dragonflyledge/model";
import type { Holding, Shortage } from "./byte_budget.ts";
import type { BodyBuffers } from "./body_buffer.ts";
import type { Garbage } from "./garbage.ts";
import { Limit } from "./client_control.ts";
import { Phase } from "./connection_table.ts";
import {
  declaredLength,
  shortageAnswer,
  writeAnswer,
  writeHead,
} from "./http_message.ts";
import type {
  Admission,
  HttpAnswer,
  HttpRequest,
  HttpRequestHead,
} from "./http_message.ts";
import { discardBody, receiveBody } from "./request_body.ts";
import type { GivenUp } from "./request_body.ts";

/** Memory of a request and its answer besides headers and body. */
const REQUEST_BYTES = 4 * KIBIBYTE;
/** Memory of a name or a value in the headers besides its text. */
const HEADER_TEXT_BYTES = 32;

const Status = {
  Timeout: 408,
  TooLarge: 413,
  HeadersTooLarge: 431,
  InternalError: 500,
} as const;

/** A request with its response. */
export interface Exchange {
  incoming: IncomingMessage;
  response: ServerResponse;
  /** Whether the client waits for an interim answer before it sends a body. */
  awaitsContinue: boolean;
  holding: Holding;
  /** Why the request can't be served, if memory is short for its headers. */
  shortage?: Shortage;
  /** Gives up the receipt of the body while it is being received. */
  giveUp?: (why: GivenUp) => void;
}

/** Where an exchange belongs. */
export interface ExchangeContext {
  /** Remote address of the connection. */
  address: string;
  buffers: BodyBuffers;
  garbage: Garbage;
  bodyLimit: () => number;
  headerLimit: () => number;
  /** Header fields of a request beyond which it is refused. */
  headerFields: number;
  /** Whether the answer has to end the connection. */
  isClosing: () => boolean;
  enter: (phase: Phase) => void;
  report: (limit: Limit, client: string) => void;
  admit?: (head: HttpRequestHead) => Admission;
  handle: (request: HttpRequest) => Promise<HttpAnswer> | HttpAnswer;
  onError: (error: Error) => void;
}

/** Bytes that a request holds before its body. */
export function headBytes(incoming: IncomingMessage): number {
  return REQUEST_BYTES + HEADER_TEXT_BYTES * incoming.rawHeaders.length;
}

/** Serves an exchange; resolves once its answer is sent, or can't be sent. */
export async function serve(
  exchange: Exchange,
  context: ExchangeContext,
): Promise<void> {
  const { response } = exchange;
  try {
    await answerExchange(exchange, context);
  } catch (error) {
    context.onError(error as Error);
    if (!response.headersSent) {
      writeAnswer(response, { status: Status.InternalError }, true);
    }
  }
  context.enter(Phase.Answering);
  await closed(response);
}

async function answerExchange(
  exchange: Exchange,
  context: ExchangeContext,
): Promise<void> {
  const { incoming, response, holding } = exchange;
  const limit = context.bodyLimit();
  const head: HttpRequestHead = {
    method: incoming.method ?? "GET",
    path: incoming.url ?? "/",
    headers: incoming.headers,
  };
  if (hasLargeHeaders(incoming, context)) {
    context.report(Limit.Headers, context.address);
    return await refuse(exchange, context, { status: Status.HeadersTooLarge });
  }
  if (exchange.shortage) {
    reportShortage(context, exchange.shortage, context.address);
    return await refuse(exchange, context, shortageAnswer(exchange.shortage));
  }
  const declared = declaredLength(incoming);
  if (declared !== undefined && declared > limit) {
    context.report(Limit.Body, context.address);
    return await refuse(exchange, context, { status: Status.TooLarge });
  }
  const admission = context.admit?.(head) ?? { kind: "admitted" };
  if (admission.kind === "answered") {
    return await refuse(exchange, context, admission.answer);
  }
  const owner = admission.owner ?? context.address;
  if (admission.owner !== undefined) holding.assign(owner);
  let body: Uint8Array = Buffer.alloc(0);
  if (declared !== 0) {
    if (exchange.awaitsContinue) response.writeContinue();
    context.enter(Phase.Body);
    const { buffers } = context;
    const received = await receiveBody({
      incoming,
      declared,
      limit,
      holding,
      buffers,
      onBegin: (giveUp) => exchange.giveUp = giveUp,
    });
    exchange.giveUp = undefined;
    if (received.kind === "gone") return;
    if (received.kind === "late") {
      context.report(Limit.BodyTimeout, owner);
      return writeAnswer(response, { status: Status.Timeout }, true);
    }
    if (received.kind === "tooLarge") {
      context.report(Limit.Body, owner);
      return await refuse(exchange, context, { status: Status.TooLarge });
    }
    if (received.kind === "shortage") {
      reportShortage(context, received.why, owner);
      return writeAnswer(response, shortageAnswer(received.why), true);
    }
    body = received.body;
  }
  holding.complete();
  context.enter(Phase.Handling);
  const answer = await context.handle({ ...head, body });
  if (response.headersSent || incoming.socket.destroyed) return;
  // Small answers are part of what each request holds.
  const size = answer.body?.length ?? 0;
  const why = size > REQUEST_BYTES ? holding.take(size) : undefined;
  if (why) reportShortage(context, why, owner);
  const sent = why ? shortageAnswer(why) : answer;
  writeAnswer(response, sent, context.isClosing());
}

/** Reports that a request was refused for lack of memory. */
export function reportShortage(
  context: Pick<ExchangeContext, "report">,
  why: Shortage,
  owner: string,
): void {
  context.report(why === "owner" ? Limit.Owner : Limit.Budget, owner);
}

function hasLargeHeaders(
  incoming: IncomingMessage,
  context: ExchangeContext,
): boolean {
  const { rawHeaders } = incoming;
  if (rawHeaders.length > 2 * context.headerFields) return true;
  let length = incoming.url?.length ?? 0;
  for (const text of rawHeaders) length += text.length;
  return length > context.headerLimit();
}

/**
 * Sends an answer without the body at once. What the client still sends is
 * discarded within a bound, so that a client which reads the answer only after
 * its body is not reset.
 */
async function refuse(
  { incoming, response, awaitsContinue }: Exchange,
  context: ExchangeContext,
  answer: HttpAnswer,
): Promise<void> {
  const declared = declaredLength(incoming);
  const limit = context.bodyLimit();
  if (declared === 0) {
    return writeAnswer(response, answer, context.isClosing());
  }
  // Such a client sends no body after a refusal.
  if (awaitsContinue) return writeAnswer(response, answer, true);
  const closing = context.isClosing() || declared === undefined ||
    declared > limit;
  writeHead(response, answer, closing);
  response.flushHeaders();
  context.enter(Phase.Body);
  await discardBody(incoming, 2 * limit, context.garbage);
  response.end(answer.body ?? "");
}

/** Resolves once the response is sent or its connection is closed. */
function closed(response: ServerResponse): Promise<void> {
  return new Promise((resolve) => {
    if (response.closed || !response.socket || response.socket.destroyed) {
      return resolve();
    }
    response.once("close", resolve);
  });
}
