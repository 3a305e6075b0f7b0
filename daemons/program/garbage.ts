/**
 * Collects garbage in time where clients send much.
 *
 * Load pattern: many large bodies at a time. Their pieces are buffers outside
 * of the heap, of which the runtime lets 64 MiB become garbage before it
 * collects them. That is much on a machine of 210 MB.
 *
 * @module
 */

import { setFlagsFromString } from "node:v8";
import { runInNewContext } from "node:vm";
import { MEBIBYTE } from "@dragonflyledge/model";

/** Bytes after which garbage among recent objects is collected. */
const RECENT_BYTES = 4 * MEBIBYTE;
/** Bytes after which garbage among all objects is collected. */
const OLD_BYTES = 12 * MEBIBYTE;
/** Collections among recent objects before one among all. */
const RECENT_COLLECTIONS = 6;

/** Collects all garbage, or only that among recent objects. */
type Collect = (options?: { type: "minor" }) => void;

/** Counts the bytes outside of the heap that become garbage. */
export interface Garbage {
  /** Adds bytes that are garbage soon after they were allocated. */
  addRecent(bytes: number): void;
  /** Adds bytes that were held for some time. */
  addOld(bytes: number): void;
}

/** Creates a counter that collects garbage whenever it has grown too much. */
export function createGarbage(): Garbage {
  setFlagsFromString("--expose-gc");
  const collect: Collect = runInNewContext("gc");
  let recent = 0;
  let old = 0;
  let collections = 0;

  function collectAll(): void {
    recent = 0;
    old = 0;
    collections = 0;
    collect();
  }

  return {
    addRecent: (bytes) => {
      recent += bytes;
      if (recent < RECENT_BYTES) return;
      recent = 0;
      if (++collections > RECENT_COLLECTIONS) collectAll();
      else collect({ type: "minor" });
    },
    addOld: (bytes) => {
      old += bytes;
      if (old >= OLD_BYTES) collectAll();
    },
  };
}
