/**
 * A stream that drops lines rather than wait for its reader.
 *
 * @module
 */

import { Writable } from "node:stream";
import { KIBIBYTE } from "@dragonflyledge/model";

/** Lines that a slow reader may leave unread. */
const MAX_UNREAD_BYTES = 256 * KIBIBYTE;

/** Returns a stream of lines to `target`, and how many were dropped. */
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
