/**
 * Connections of a listener: how far each has come, which one has to go if
 * there are too many, and which ones have taken too long.
 *
 * Load pattern: many clients that send headers or bodies slowly, stop half-way
 * or don't read their answers, so that they use up the connections.
 *
 * @module
 */

import type { Milliseconds } from "@dragonflyledge/model";

/** What a connection does. */
export const Phase = {
  /** No request has begun. */
  Idle: "idle",
  /** Headers of a request are being received. */
  Headers: "headers",
  /** A body is being received. */
  Body: "body",
  /** A request is being handled. */
  Handling: "handling",
  /** An answer is being sent. */
  Answering: "answering",
} as const;
export type Phase = typeof Phase[keyof typeof Phase];

/** A connection and since when it is in its phase. */
export interface TrackedConnection {
  address: string;
  phase: Phase;
  since: Milliseconds;
  /** Bytes that had been received when the phase began. */
  mark: number;
}

/** Longest time for which a connection may be in each phase. */
export type PhaseLimits = Partial<Record<Phase, Milliseconds>>;

/**
 * Chooses the connection that is closed for a new one: of the address with most
 * connections, an unfinished one before an idle one, and then the one that has
 * been in its phase for longest. Returns undefined if all are being handled.
 */
export function chooseConnection<T extends TrackedConnection>(
  connections: Iterable<T>,
): T | undefined {
  const counts = new Map<string, number>();
  const candidates: T[] = [];
  for (const connection of connections) {
    const { address, phase } = connection;
    counts.set(address, (counts.get(address) ?? 0) + 1);
    if (phase !== Phase.Handling) candidates.push(connection);
  }
  const rank = (each: T) => each.phase === Phase.Idle ? 1 : 0;
  let chosen: T | undefined;
  for (const candidate of candidates) {
    if (chosen === undefined) {
      chosen = candidate;
      continue;
    }
    const order = counts.get(chosen.address)! -
        counts.get(candidate.address)! ||
      rank(candidate) - rank(chosen) ||
      candidate.since - chosen.since;
    if (order < 0) chosen = candidate;
  }
  return chosen;
}

/** Whether a connection has been in its phase for longer than it may. */
export function hasExpired(
  connection: TrackedConnection,
  now: Milliseconds,
  limits: PhaseLimits,
): boolean {
  const limit = limits[connection.phase];
  return limit !== undefined && now - connection.since > limit;
}
