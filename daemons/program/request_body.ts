/**
 * Receives or discards the body of a request.
 *
 * @module
 */

import type { Buffer } from "node:buffer";
import type { IncomingMessage } from "node:http";
import type { Holding, Shortage } from "./byte_budget.ts";
import type { Garbage } from "./garbage.ts";
import type { BodyBuffers } from "./body_buffer.ts";

/** How the receipt of a body ended. */
export type ReceivedBody =
  | { kind: "whole"; body: Uint8Array }
  | { kind: "tooLarge" }
  | { kind: "shortage"; why: Shortage }
  /** The body takes too long. */
  | { kind: "late" }
  /** The connection was closed. */
  | { kind: "gone" };

/** Why the receipt of a body is given up from outside. */
export type GivenUp = Extract<ReceivedBody, { kind: "shortage" | "late" }>;

/**
 * Receives a body of at most `limit` bytes, which `holding` takes.
 *
 * @param fields.onBegin gets a function that gives the receipt up
 */
export function receiveBody(fields: {
  incoming: IncomingMessage;
  declared: number | undefined;
  limit: number;
  holding: Holding;
  buffers: BodyBuffers;
  onBegin: (giveUp: (why: GivenUp) => void) => void;
}): Promise<ReceivedBody> {
  const { incoming, limit, holding } = fields;
  return new Promise((resolve) => {
    let shortage: Shortage | undefined;
    const buffer = fields.buffers.create(fields.declared, (bytes) => {
      shortage = holding.take(bytes);
      return shortage === undefined;
    });

    function finish(received: ReceivedBody): void {
      incoming.off("data", receive);
      incoming.off("end", end);
      incoming.off("close", close);
      if (received.kind !== "whole") {
        incoming.pause();
        buffer.discard();
      }
      resolve(received);
    }

    function receive(piece: Buffer): void {
      if (buffer.length() + piece.length > limit) finish({ kind: "tooLarge" });
      else if (!buffer.append(piece)) {
        finish({ kind: "shortage", why: shortage! });
      }
    }

    const end = () => finish({ kind: "whole", body: buffer.finish() });
    const close = () => finish({ kind: "gone" });
    fields.onBegin(finish);
    incoming.on("data", receive);
    incoming.on("end", end);
    incoming.on("close", close);
  });
}

/** Discards the rest of a body; returns early after `limit` bytes. */
export function discardBody(
  incoming: IncomingMessage,
  limit: number,
  garbage: Garbage,
): Promise<void> {
  return new Promise((resolve) => {
    let discarded = 0;
    if (incoming.complete || incoming.destroyed) {
      incoming.resume();
      return resolve();
    }
    incoming.on("data", (piece: Buffer) => {
      discarded += piece.length;
      garbage.addRecent(piece.length);
      if (discarded > limit) resolve();
    });
    incoming.once("end", resolve);
    incoming.once("close", resolve);
    incoming.resume();
  });
}
