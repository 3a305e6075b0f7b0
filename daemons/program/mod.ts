/**
 * Parts that the programs for the users' platform share: HTTP listener, log and
 * metrics, and access to the store.
 *
 * @module
 */

export { createClientControl, Limit, limitLinks } from "./client_control.ts";
export type { ClientControl, LinkControl } from "./client_control.ts";
export { listenHttp } from "./http_listener.ts";
export type { HttpListener } from "./http_listener.ts";
export type {
  Admission,
  HttpAnswer,
  HttpRequest,
  HttpRequestHead,
} from "./http_message.ts";
export { instrumentStore } from "./observe_store.ts";
export { createOutput } from "./output.ts";
export type { Output } from "./output.ts";
export { registerAddress } from "./register.ts";
