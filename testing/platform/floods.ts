/**
 * Misbehaving clients on raw sockets: many connections at a time that send or
 * read less than they should.
 *
 * @module
 */

import { Buffer } from "node:buffer";
import { connect } from "node:net";
import type { Socket } from "node:net";
import { setTimeout as sleep } from "node:timers/promises";

/** Poll interval while the connections of a flood make progress, in ms. */
const SETTLE_INTERVAL = 100;
/** A flood is sent once nothing has moved for this many intervals. */
const SETTLED_INTERVALS = 8;
/** Connections that are opened at a time, fewer than a listen queue holds. */
const OPENED_AT_A_TIME = 50;
/** Pause between two pieces that a slow client sends, in milliseconds. */
const SLOW_PAUSE = 500;

/** Open connections of a flood. */
export interface Flood {
  /** Connections that the server has not closed. */
  open(): number;
  /** Closes all connections. */
  close(): void;
}

/** What one client of a flood sends. */
export interface FloodClient {
  /** Pieces, each written once the former was taken. */
  pieces: Iterable<Uint8Array | string>;
  /** Whether the client reads what the server answers. */
  reads: boolean;
  /** Whether the client pauses between pieces. */
  slow?: boolean;
}

/**
 * Opens `clients` connections to `address` ("host:port"), and returns once all
 * have sent everything, were closed, or no longer make progress.
 */
export async function startFlood(fields: {
  address: string;
  clients: number;
  client: (index: number) => FloodClient;
  /** Local address of the connections. */
  from?: string;
}): Promise<Flood> {
  const [host, port] = fields.address.split(":");
  const sockets: Socket[] = [];
  let closed = 0;
  let taken = 0;
  let left = fields.clients;
  let ended = false;

  async function send(socket: Socket, client: FloodClient): Promise<void> {
    for (const piece of client.pieces) {
      if (socket.destroyed || ended) return;
      await new Promise<void>((resolve) => {
        socket.once("close", resolve);
        socket.write(piece, () => {
          socket.off("close", resolve);
          resolve();
        });
      });
      taken++;
      if (client.slow) await sleep(SLOW_PAUSE);
    }
  }

  for (let index = 0; index < fields.clients; index++) {
    const client = fields.client(index);
    const socket = connect({
      host,
      port: Number(port),
      localAddress: fields.from,
      noDelay: true,
    });
    sockets.push(socket);
    // The server may refuse or reset any of these connections.
    socket.on("error", () => {});
    socket.on("close", () => closed++);
    if (client.reads) socket.resume();
    else socket.pause();
    send(socket, client).then(() => left--);
    if (index % OPENED_AT_A_TIME === 0) await sleep(1);
  }
  await settle(() => left === 0 ? -1 : taken + closed);
  return {
    open: () => sockets.filter((socket) => !socket.destroyed).length,
    close: () => {
      ended = true;
      for (const socket of sockets) socket.destroy();
    },
  };
}

/** Waits until `progress` is -1 or no longer changes. */
async function settle(progress: () => number): Promise<void> {
  let last = progress();
  for (let still = 0; still < SETTLED_INTERVALS;) {
    await sleep(SETTLE_INTERVAL);
    const now = progress();
    if (now === -1) break;
    still = now === last ? still + 1 : 0;
    last = now;
  }
  // What was sent last may still be on its way through the server.
  await sleep(SETTLED_INTERVALS * SETTLE_INTERVAL);
}

/** Where a flood goes, and with which key. */
export interface FloodTarget {
  method?: string;
  path: string;
  host: string;
  key?: string;
}

/** The headers of a request, with the lines in `more`. */
export function requestHead(target: FloodTarget, more: string[]): string {
  return [
    `${target.method ?? "POST"} ${target.path} HTTP/1.1`,
    `host: ${target.host}`,
    ...(target.key === undefined ? [] : [`x-api-key: ${target.key}`]),
    ...more,
    "",
    "",
  ].join("\r\n");
}

/** A body that is declared with its length and stops one byte short of it. */
export function bodyStoppedShort(
  target: FloodTarget,
  fields: { length: number; piece: number },
): FloodClient {
  const head = requestHead(target, [`content-length: ${fields.length}`]);
  return {
    pieces: listPieces(head, fields.length - 1, fields.piece),
    reads: true,
  };
}

function* listPieces(
  head: string,
  length: number,
  piece: number,
): Generator<Uint8Array | string> {
  yield head;
  for (let sent = 0; sent < length; sent += piece) {
    yield Buffer.alloc(Math.min(piece, length - sent), "x");
  }
}

/** A body in chunks of `chunk` bytes whose last, empty chunk is missing. */
export function chunksWithoutEnd(
  target: FloodTarget,
  fields: { length: number; chunk: number; piece: number },
): FloodClient {
  const head = requestHead(target, ["transfer-encoding: chunked"]);
  const chunk = `${fields.chunk.toString(16)}\r\n${
    "x".repeat(fields.chunk)
  }\r\n`;
  const perPiece = Math.max(1, Math.floor(fields.piece / fields.chunk));
  const pieces = Math.floor(fields.length / fields.chunk / perPiece);
  return {
    pieces: repeat(head, chunk.repeat(perPiece), pieces),
    reads: true,
  };
}

function* repeat(
  first: string,
  piece: string,
  times: number,
): Generator<string> {
  yield first;
  for (let sent = 0; sent < times; sent++) yield piece;
}

/** A whole request with the body. */
export function wholeRequest(target: FloodTarget, body: string): FloodClient {
  const head = requestHead(target, [
    `content-length: ${Buffer.byteLength(body)}`,
  ]);
  return { pieces: [head, body], reads: true };
}

/** `count` requests without a body in a row, whose answers are not read. */
export function pipelinedRequests(
  target: FloodTarget,
  fields: { count: number; perPiece: number },
): FloodClient {
  const request = requestHead(target, []);
  const pieces = Math.ceil(fields.count / fields.perPiece);
  return {
    pieces: repeat(request, request.repeat(fields.perPiece), pieces),
    reads: false,
  };
}

/** `count` header lines, each with another short name. */
export function shortHeaders(count: number): string[] {
  return Array.from({ length: count }, (_, index) => {
    return `${index.toString(36)}: ${index % 10}`;
  });
}

/** A JSON body of `length` bytes at most, of very many empty objects. */
export function bodyOfShortFields(length: number): string {
  const start = '{"steps":[{}';
  const count = Math.floor((length - start.length - 2) / ",{}".length);
  return `${start}${",{}".repeat(count)}]}`;
}
