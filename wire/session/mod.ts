/**
 * TCP sessions with hello, heartbeats, deadlines and reconnection.
 *
 * @module
 */

export * from "./dialer.ts";
export * from "./listener.ts";
export type {
  Session,
  SessionHandlers,
  SessionTimes,
  Traffic,
} from "./session.ts";
export { DEFAULT_TIMES } from "./session.ts";
