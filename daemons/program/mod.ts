/**
 * Parts that the programs for the users' platform share: HTTP listener, log and
 * metrics, and access to the store.
 *
 * @module
 */

export { listenHttp } from "./http_listener.ts";
export type { HttpAnswer, HttpListener, HttpRequest } from "./http_listener.ts";
export { instrumentStore } from "./observe_store.ts";
export { createOutput } from "./output.ts";
export type { Output } from "./output.ts";
export { registerAddress } from "./register.ts";
