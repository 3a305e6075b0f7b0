/**
 * Collects the pieces of bodies in blocks that are used again.
 *
 * Load pattern: bodies in pieces or chunks of a few bytes, of which each would
 * take a buffer of its own, and many bodies that are given up, whose buffers
 * would be garbage.
 *
 * @module
 */

import { Buffer } from "node:buffer";
import { KIBIBYTE } from "@dragonflyledge/model";
import type { Garbage } from "./garbage.ts";

const BLOCK_BYTES = 16 * KIBIBYTE;

/** Collects one body. */
export interface BodyBuffer {
  /**
   * Appends a piece. Returns false, without it, if `take` refuses the bytes of
   * a further block.
   */
  append(piece: Buffer): boolean;
  /** Bytes that were appended. */
  length(): number;
  /** Returns the whole body and gives its blocks back. */
  finish(): Uint8Array;
  /** Gives the blocks back. */
  discard(): void;
}

/** Blocks that the bodies of a process share. */
export interface BodyBuffers {
  /**
   * Creates the buffer of a body of `declared` bytes; undefined if its length
   * is not known. `take` is asked for the bytes of each block.
   */
  create(
    declared: number | undefined,
    take: (bytes: number) => boolean,
  ): BodyBuffer;
}

/**
 * Creates the blocks that bodies share.
 *
 * @param fields.keptBytes blocks that are kept for further bodies
 */
export function createBodyBuffers(
  fields: { garbage: Garbage; keptBytes: number },
): BodyBuffers {
  const { garbage } = fields;
  const maxFree = Math.floor(fields.keptBytes / BLOCK_BYTES);
  const free: Buffer[] = [];

  function create(
    declared: number | undefined,
    take: (bytes: number) => boolean,
  ): BodyBuffer {
    /** The body if it came in one piece. */
    let whole: Buffer | undefined;
    let blocks: Buffer[] = [];
    let length = 0;
    /** Bytes of the last block that are in use. */
    let filled = BLOCK_BYTES;

    function addBlock(): boolean {
      if (!take(BLOCK_BYTES)) return false;
      blocks.push(free.pop() ?? Buffer.allocUnsafeSlow(BLOCK_BYTES));
      filled = 0;
      return true;
    }

    function append(piece: Buffer): boolean {
      garbage.addRecent(piece.length);
      if (piece.length === declared) {
        if (!take(piece.length)) return false;
        whole = piece;
        length = piece.length;
        return true;
      }
      let copied = 0;
      while (copied < piece.length) {
        if (filled === BLOCK_BYTES && !addBlock()) return false;
        const count = piece.copy(blocks.at(-1)!, filled, copied);
        filled += count;
        copied += count;
      }
      length += piece.length;
      return true;
    }

    function discard(): void {
      const kept = Math.max(0, maxFree - free.length);
      garbage.addOld(Math.max(0, blocks.length - kept) * BLOCK_BYTES);
      free.push(...blocks.slice(0, kept));
      blocks = [];
      whole = undefined;
    }

    function finish(): Uint8Array {
      if (whole) return whole;
      const body = Buffer.concat(blocks, length);
      garbage.addOld(length);
      discard();
      return body;
    }

    return { append, length: () => length, finish, discard };
  }

  return { create };
}
