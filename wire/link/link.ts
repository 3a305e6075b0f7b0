/**
 * One TCP connection that carries frames: four bytes of length, big-endian,
 * and one CBOR value.
 *
 * @module
 */

import type { Socket } from "node:net";
import { Buffer } from "node:buffer";
import { Encoder } from "cbor-x";
import { FRAME_LIMIT } from "@dragonflyledge/model";

const HEADER_SIZE = 4;
/** A peer that leaves so many bytes unread is given up. */
const UNSENT_LIMIT = 4 * FRAME_LIMIT;

const encoder = new Encoder({ useRecords: false, tagUint8Array: false });

/** A connection to another process of the system. */
export interface Link {
  /** Sends a message, or closes the connection of a peer that doesn't read. */
  send(message: unknown): void;
  close(): void;
  readonly closed: boolean;
}

/** Reads and writes frames on a connected socket. */
export function createLink(fields: {
  socket: Socket;
  onMessage: (message: unknown) => void;
  onClose: (reason: string) => void;
}): Link {
  const { socket } = fields;
  let closed = false;
  let buffered: Buffer = Buffer.alloc(0);

  function end(reason: string): void {
    if (closed) return;
    closed = true;
    socket.destroy();
    fields.onClose(reason);
  }

  function read(chunk: Buffer): void {
    buffered = buffered.length === 0 ? chunk : Buffer.concat([buffered, chunk]);
    while (!closed && buffered.length >= HEADER_SIZE) {
      const length = buffered.readUInt32BE(0);
      if (length > FRAME_LIMIT) return end("frame too large");
      if (buffered.length < HEADER_SIZE + length) return;
      const body = buffered.subarray(HEADER_SIZE, HEADER_SIZE + length);
      buffered = buffered.subarray(HEADER_SIZE + length);
      let message: unknown;
      try {
        message = encoder.decode(body);
      } catch (error) {
        return end(`frame is not CBOR: ${error}`);
      }
      fields.onMessage(message);
    }
  }

  function send(message: unknown): void {
    if (closed) return;
    const body = encoder.encode(message);
    const header = Buffer.alloc(HEADER_SIZE);
    header.writeUInt32BE(body.length, 0);
    socket.write(Buffer.concat([header, body]));
    if (socket.writableLength > UNSENT_LIMIT) end("peer does not read");
  }

  socket.setNoDelay(true);
  socket.on("data", read);
  socket.on("error", (error) => end(error.message));
  socket.on("close", () => end("closed"));
  return {
    send,
    close: () => end("closed here"),
    get closed() {
      return closed;
    },
  };
}
