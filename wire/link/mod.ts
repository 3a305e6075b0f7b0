/**
 * Links: TCP connections that carry any CBOR values in frames. Unlike sessions
 * they have no hello, heartbeats or validation of messages.
 *
 * @module
 */

export { dialLink } from "./dial.ts";
export type { Link } from "./link.ts";
export { listenLinks } from "./listen.ts";
