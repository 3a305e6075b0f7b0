/**
 * System clock and timers, and the loop that runs a reducer.
 *
 * @module
 */

export { listenHttp } from "./http_listener.ts";
export type { Answer, HttpListener, ReadRequest } from "./http_listener.ts";
export * from "./loop.ts";
export type { Observer } from "./observer.ts";
export { register } from "./register.ts";
export * from "./report_failure.ts";
export * from "./system_time.ts";
