/**
 * Stream that drops lines instead of waiting for a slow reader.
 *
 * @module
 */

import { Writable } from "node:stream";
import { KIBIBYTE } from "@dragonflyledge/model";

/** Bytes that may wait for the reader before lines are dropped. */
const MAX_UNREAD_BYTES = 256 * KIBIBYTE;

/**
 * Returns a stream that passes lines on to `target`, and a function that
 * returns how many lines were dropped.
 */
export function createDroppingStream(
  fields: { target: NodeJS.WritableStream & { writableLength: number } },
): { stream: NodeJS.WritableStream; dropped: () => number } {
  const { target } = fields;
  let dropped = 0;
  const stream = new Writable({
    decodeStrings: false,
    write(line, _, done) {
      if (target.writableLength > MAX_UNREAD_BYTES) dropped++;
      else target.write(line);
      done();
    },
  });
  return { stream, dropped: () => dropped };
}
