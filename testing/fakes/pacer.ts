/**
 * Speed limit of a link that several connections share.
 *
 * @module
 */

import type { Clock, Milliseconds } from "@dragonflyledge/model";
import { SECOND } from "@dragonflyledge/model";

/** Bytes that a connection sends at a time before others may send theirs. */
const SEGMENT_BYTES = 16_384;

/** Paces what is sent over one direction of a link. */
export interface Pacer {
  /** Bytes per second; Infinity, the value at the start, sets no limit. */
  speed: number;
  /** Splits the bytes into segments that are to be sent one by one. */
  split(chunk: Uint8Array): Uint8Array[];
  /** Reserves the link for a segment; returns the time until it has arrived. */
  reserve(size: number): Milliseconds;
}

/** Creates a pacer of a link that is idle. */
export function createPacer(clock: Clock): Pacer {
  let freeAt = -Infinity;
  const pacer: Pacer = {
    speed: Infinity,
    split: (chunk) => {
      if (pacer.speed === Infinity) return [chunk];
      const count = Math.ceil(chunk.length / SEGMENT_BYTES);
      return Array.from({ length: count }, (_, index) => {
        const start = index * SEGMENT_BYTES;
        return chunk.subarray(start, start + SEGMENT_BYTES);
      });
    },
    reserve: (size) => {
      if (pacer.speed === Infinity) return 0;
      const now = clock.now();
      freeAt = Math.max(freeAt, now) + size / pacer.speed * SECOND;
      return freeAt - now;
    },
  };
  return pacer;
}
