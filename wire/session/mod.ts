/**
 * TCP sessions with hello, heartbeats, deadlines and reconnection.
 *
 * @module
 */

export {};
