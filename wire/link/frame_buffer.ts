/**
 * Holds what a link has received of an incomplete frame.
 *
 * Load pattern: peers that send a frame in very small pieces, of which each
 * would take a buffer or a copy of all that came before it.
 *
 * @module
 */

import { Buffer } from "node:buffer";
import { KIBIBYTE } from "@dragonflyledge/model";

/** Smaller pieces are copied into a block, larger ones are kept. */
const SMALL_PIECE = 4 * KIBIBYTE;
const BLOCK_BYTES = 16 * KIBIBYTE;

/** Received bytes that are not decoded yet. */
export interface FrameBuffer {
  /**
   * Appends a chunk. Returns all bytes once there are as many as `keep` was
   * told, otherwise undefined.
   */
  append(chunk: Buffer): Buffer | undefined;
  /**
   * Keeps bytes that `append` returned, until there are `size`. Returns how
   * many bytes of memory are held.
   */
  keep(rest: Buffer, size: number): number;
  /** Bytes of memory that are held. */
  held(): number;
  /** Forgets all bytes. */
  clear(): void;
}

/** Creates an empty buffer, which never changes bytes that it has returned. */
export function createFrameBuffer(): FrameBuffer {
  let pieces: Buffer[] = [];
  let length = 0;
  let held = 0;
  let needed = 0;
  /** Free end of the last piece if that is a block. */
  let free: Buffer | undefined;

  function push(piece: Buffer): void {
    length += piece.length;
    if (piece.length >= SMALL_PIECE) {
      pieces.push(piece);
      held += piece.length;
      free = undefined;
      return;
    }
    if (!free || free.length < piece.length) {
      free = Buffer.allocUnsafeSlow(BLOCK_BYTES);
      held += BLOCK_BYTES;
    } else {
      const block = pieces.pop()!;
      const { buffer, byteOffset } = block;
      piece.copy(free);
      free = free.subarray(piece.length);
      pieces.push(Buffer.from(buffer, byteOffset, block.length + piece.length));
      return;
    }
    piece.copy(free);
    pieces.push(free.subarray(0, piece.length));
    free = free.subarray(piece.length);
  }

  function clear(): void {
    pieces = [];
    length = 0;
    held = 0;
    free = undefined;
  }

  return {
    append: (chunk) => {
      if (pieces.length === 0) return chunk;
      push(chunk);
      if (length < needed) return undefined;
      const all = Buffer.concat(pieces, length);
      clear();
      return all;
    },
    keep: (rest, size) => {
      needed = size;
      if (rest.length > 0) push(rest);
      return held;
    },
    held: () => held,
    clear,
  };
}
