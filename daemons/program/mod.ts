/**
 * What the programs on the users' platform share.
 *
 * @module
 */

export { listenHttp } from "./http_listener.ts";
export type { Answer, HttpListener, ReadRequest } from "./http_listener.ts";
export { observeStore } from "./observe_store.ts";
export { createOutput } from "./output.ts";
export type { Output } from "./output.ts";
export { register } from "./register.ts";
