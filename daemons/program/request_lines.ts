/**
 * Lets the HTTP parser handle one request after the other.
 *
 * Load pattern: very many pipelined requests on many connections. The parser
 * handles a whole chunk of 64 KiB at once, also after the connection was closed
 * for the first of its 2,000 requests, and what it creates stays until the end
 * of the turn of the event loop.
 *
 * @module
 */

import { Buffer } from "node:buffer";
import type { Socket } from "node:net";

/** What ends a request line; a body that holds it is only parsed in parts. */
const LINE_END = Buffer.from(" HTTP/1.");

/**
 * Passes what arrives on the socket of an HTTP server to its parser in parts of
 * at most two requests, and nothing more once the socket is closed.
 */
export function parseByRequest(socket: Socket): void {
  const parsers = socket.listeners("data") as ((chunk: Buffer) => void)[];
  socket.removeAllListeners("data");

  function parse(part: Buffer): void {
    for (const parser of parsers) parser.call(socket, part);
  }

  socket.on("data", (chunk: Buffer) => {
    const first = chunk.indexOf(LINE_END);
    let start = 0;
    let end = first < 0 ? -1 : chunk.indexOf(LINE_END, first + 1);
    while (end >= 0) {
      parse(chunk.subarray(start, end));
      if (socket.destroyed) return;
      // The parser takes nothing while it has paused the socket.
      if (socket.isPaused()) return void socket.unshift(chunk.subarray(end));
      start = end;
      end = chunk.indexOf(LINE_END, start + 1);
    }
    parse(start === 0 ? chunk : chunk.subarray(start));
  });
}
