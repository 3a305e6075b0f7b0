/**
 * Set of the attempts that must never run on this worker.
 *
 * @module
 */

import { MAX_REQUEST_DEADLINE, MINUTE } from "@dragonflyledge/model";
import type { Milliseconds } from "@dragonflyledge/model";

/**
 * How long a tombstone is kept at least. It is longer than any deadline, so that
 * no late attempt outlives its tombstone.
 */
export const TOMBSTONE_RETENTION = MAX_REQUEST_DEADLINE + MINUTE;

// 8 Mbit: one million tombstones in one period falsely refuse about 2% of
// attempts, ten thousand refuse none that could be measured.
const FILTER_BITS = 1 << 23;
const HASH_COUNT = 5;

/**
 * Set of keys that keeps each for the retention time at least. It is a pair of
 * Bloom filters, so its size is fixed. A false match only refuses an attempt
 * that could have run; the refused attempt does not run, so the refusal is true.
 */
export interface Tombstones {
  add(key: string): void;
  /** Whether the key was added; rarely also true for one that was not. */
  has(key: string): boolean;
  /** Forgets keys after one to two retention times. Call it at intervals. */
  sweep(now: Milliseconds): void;
}

/** Creates an empty set. */
export function createTombstones(): Tombstones {
  let current = createFilter();
  let previous = createFilter();
  let rotatedAt: Milliseconds | undefined;
  return {
    add: (key) => current.add(key),
    has: (key) => current.has(key) || previous.has(key),
    sweep(now) {
      rotatedAt ??= now;
      if (now - rotatedAt < TOMBSTONE_RETENTION) return;
      [current, previous] = [createFilter(), current];
      rotatedAt = now;
    },
  };
}

/** Creates a Bloom filter. Positions of a key come from double hashing. */
function createFilter() {
  // Allocated on first use, since most agents never add a tombstone.
  let bits: Uint32Array | undefined;
  function positions(key: string): number[] {
    const first = hash(key, 0x811c9dc5);
    const second = hash(key, 0x9747b28c) | 1;
    return Array.from(
      { length: HASH_COUNT },
      (_, index) => (first + Math.imul(index, second)) & (FILTER_BITS - 1),
    );
  }
  return {
    add(key: string): void {
      const words = bits ??= new Uint32Array(FILTER_BITS / 32);
      for (const position of positions(key)) {
        words[position >>> 5]! |= 1 << (position & 31);
      }
    },
    has(key: string): boolean {
      const words = bits;
      if (words === undefined) return false;
      return positions(key).every((position) =>
        (words[position >>> 5]! & (1 << (position & 31))) !== 0
      );
    },
  };
}

/**
 * Returns a 32-bit hash of the text: FNV-1a over its UTF-16 code units, with
 * the final mix of murmur3.
 */
export function hash(text: string, seed: number): number {
  let value = seed >>> 0;
  for (let index = 0; index < text.length; index++) {
    value = Math.imul(value ^ text.charCodeAt(index), 0x01000193);
  }
  value = Math.imul(value ^ (value >>> 16), 0x85ebca6b);
  value = Math.imul(value ^ (value >>> 13), 0xc2b2ae35);
  return (value ^ (value >>> 16)) >>> 0;
}
