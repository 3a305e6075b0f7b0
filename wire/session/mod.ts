/**
 * Sessions between entries and agents: TCP connections with hellos, heartbeats,
 * a timeout on silence, and reconnection.
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
