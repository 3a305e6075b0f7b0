/**
 * Framed CBOR over TCP between processes, with deadlines.
 *
 * @module
 */

export { dialLink } from "./dial.ts";
export type { Link } from "./link.ts";
export { listenLinks } from "./listen.ts";
