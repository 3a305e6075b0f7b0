/**
 * Memory of attempts that never run here.
 *
 * @module
 */

import { MAX_REQUEST_DEADLINE, MINUTE } from "@dragonflyledge/model";
import type { Milliseconds } from "@dragonflyledge/model";

/** Longer than any deadline, so that no late attempt outlives its tombstone. */
export const TOMBSTONE_RETENTION = MAX_REQUEST_DEADLINE + MINUTE;

// 8 Mbit: one million tombstones in one period falsely refuse about 2% of
// attempts, ten thousand refuse none that could be measured.
const FILTER_BITS = 1 << 23;
const HASH_COUNT = 5;

/**
 * Set of keys that never forgets one within the retention time. It is a pair
 * of Bloom filters, so it has a fixed size. A false match only refuses an
 * attempt that could have run, and such a refusal is true.
 */
export interface Tombstones {
  add(key: string): void;
  has(key: string): boolean;
  /** Forgets keys older than the retention time, at most twice that. */
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

function createFilter() {
  // Allocated on first use: most agents never leave a tombstone.
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

/** FNV-1a with a final mix (murmur3), over UTF-16 code units. */
export function hash(text: string, seed: number): number {
  let value = seed >>> 0;
  for (let index = 0; index < text.length; index++) {
    value = Math.imul(value ^ text.charCodeAt(index), 0x01000193);
  }
  value = Math.imul(value ^ (value >>> 16), 0x85ebca6b);
  value = Math.imul(value ^ (value >>> 13), 0xc2b2ae35);
  return (value ^ (value >>> 16)) >>> 0;
}
