/**
 * Links: TCP connections that carry CBOR objects in frames. Unlike sessions
 * they have no hello or heartbeats, and check no more of a message than that it
 * names its kind.
 *
 * @module
 */

export { dialLink } from "./dial.ts";
export type { Link, LinkMessage } from "./link.ts";
export { listenLinks } from "./listen.ts";
export type { LinkLimits } from "./listen.ts";
