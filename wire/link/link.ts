/**
 * One TCP connection that carries frames: the length of the body in four bytes,
 * big-endian, and the body, which is one CBOR value.
 *
 * @module
 */

import type { Socket } from "node:net";
import { Buffer } from "node:buffer";
import { Encoder } from "cbor-x";
import { FRAME_LIMIT } from "@dragonflyledge/model";
import { createFrameBuffer } from "./frame_buffer.ts";

/** Bytes that hold the length of the body. */
const HEADER_SIZE = 4;
/** The link is closed if the peer leaves more bytes than this unread. */
const UNSENT_LIMIT = 4 * FRAME_LIMIT;

const encoder = new Encoder({ useRecords: false, tagUint8Array: false });

/** Any value with the text field `kind`; what else it holds is not checked. */
export type LinkMessage = { kind: string } & Record<string, unknown>;

/** A connection to another process of the system, which carries messages. */
export interface Link {
  /**
   * Sends a message; without effect on a closed link. If more than
   * `UNSENT_LIMIT` bytes are then unsent, the link is closed.
   */
  send(message: unknown): void;
  /** Closes the link; the peer may still get messages that were sent before. */
  close(): void;
  /** Whether either side has closed the link, or it has failed. */
  readonly closed: boolean;
}

/**
 * Creates a link on a socket that is connected or connecting. `onMessage` is
 * called with each message, and `onClose` once with the reason, which may be an
 * error of the socket. A frame that holds no message closes the link.
 */
export function createLink(fields: {
  socket: Socket;
  onMessage: (message: LinkMessage) => void;
  onClose: (reason: string) => void;
  /** Receives the bytes that are held for an incomplete frame. */
  onBuffered?: (bytes: number) => void;
}): Link {
  const { socket } = fields;
  let closed = false;
  const frames = createFrameBuffer();

  /** Closes the link once and reports the reason. */
  function end(reason: string): void {
    if (closed) return;
    closed = true;
    frames.clear();
    socket.destroy();
    fields.onClose(reason);
  }

  function read(chunk: Buffer): void {
    const data = frames.append(chunk);
    if (!data) return fields.onBuffered?.(frames.held());
    let start = 0;
    while (!closed && data.length - start >= HEADER_SIZE) {
      const length = data.readUInt32BE(start);
      if (length > FRAME_LIMIT) return end("a frame exceeds the size limit");
      const next = start + HEADER_SIZE + length;
      if (data.length < next) break;
      const body = data.subarray(start + HEADER_SIZE, next);
      start = next;
      let message: unknown;
      try {
        message = encoder.decode(body);
      } catch (error) {
        return end(`a frame is not CBOR: ${error}`);
      }
      if (!isMessage(message)) return end("a frame holds no message");
      fields.onMessage(message);
    }
    if (closed) return;
    const rest = data.subarray(start);
    const body = rest.length < HEADER_SIZE ? 0 : rest.readUInt32BE(0);
    const held = frames.keep(rest, HEADER_SIZE + body);
    fields.onBuffered?.(held);
  }

  function send(message: unknown): void {
    if (closed) return;
    const body = encoder.encode(message);
    const header = Buffer.alloc(HEADER_SIZE);
    header.writeUInt32BE(body.length, 0);
    socket.write(Buffer.concat([header, body]));
    if (socket.writableLength > UNSENT_LIMIT) end("the peer reads too slowly");
  }

  socket.setNoDelay(true);
  socket.on("data", read);
  socket.on("error", (error) => end(error.message));
  socket.on("close", () => end("the peer closed the connection"));
  return {
    send,
    close: () => end("this process closed the connection"),
    get closed() {
      return closed;
    },
  };
}

function isMessage(value: unknown): value is LinkMessage {
  return typeof value === "object" && value !== null && "kind" in value &&
    typeof value.kind === "string";
}
