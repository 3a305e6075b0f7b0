/**
 * Policies by which the baselines route requests to servers (endpoints).
 *
 * @module
 */

import type { Milliseconds } from "@dragonflyledge/model";
import type { RequestRecord } from "../record.ts";
import type { Server } from "./servers.ts";

/** A policy that routes requests to servers. */
export interface Policy {
  name: string;
  /**
   * Chooses a server for a request. If it returns undefined, the request
   * stays in the central queue.
   */
  choose(
    request: RequestRecord,
    servers: Server[],
    now: Milliseconds,
  ): Server | undefined;
  /** Called after the servers have reported their load. */
  onLoadReport?(servers: Server[]): void;
}

/** The session of a client that is idle for this long ends. */
const SESSION_IDLE: Milliseconds = 10_000;
/**
 * A server is overloaded if its reported load exceeds OVERLOAD_FACTOR times
 * the mean plus OVERLOAD_MARGIN requests.
 */
const OVERLOAD_FACTOR = 1.5;
const OVERLOAD_MARGIN = 4;

/**
 * One central queue in order of arrival; the first server in the list that
 * has a free slot takes the request at its head.
 */
export function firstFit(): Policy {
  return {
    name: "fcfs first fit",
    choose: (_request, servers) =>
      servers.find((each) => each.load < each.inventory.slots),
  };
}

/** Each request goes to the server with the least load at that moment. */
export function leastLoaded(): Policy {
  return {
    name: "least loaded",
    choose: (_request, servers) =>
      findLeastLoaded(servers, (each) => each.load),
  };
}

/** Each request goes to the server with the least last reported load. */
export function perCall(): Policy {
  return {
    name: "per call",
    choose: (_request, servers) =>
      findLeastLoaded(servers, (each) => each.reportedLoad),
  };
}

/**
 * The requests of a client go to one server during a session. The server is
 * chosen when the session opens, by reported load and number of clients.
 */
export function sessionBased(): Policy {
  const sessions = createBindings();
  return { name: "session", choose: sessions.choose };
}

/**
 * Like `sessionBased`, but at each load report an overloaded server releases
 * half of its clients, which are bound anew at their next request.
 */
export function onDemand(): Policy {
  const sessions = createBindings();
  return {
    name: "on demand",
    choose: sessions.choose,
    onLoadReport(servers) {
      const mean = servers.reduce((sum, each) => sum + each.reportedLoad, 0) /
        Math.max(1, servers.length);
      for (const server of servers) {
        const limit = mean * OVERLOAD_FACTOR + OVERLOAD_MARGIN;
        if (server.reportedLoad > limit) sessions.releaseClients(server);
      }
    },
  };
}

/** Creates all policies, with no client bound to a server yet. */
export function createPolicies(): Policy[] {
  return [firstFit(), leastLoaded(), sessionBased(), perCall(), onDemand()];
}

/** Creates an empty table of the servers to which clients are bound. */
function createBindings() {
  const bound = new Map<number, { server: Server; usedAt: Milliseconds }>();
  return {
    choose(request: RequestRecord, servers: Server[], now: Milliseconds) {
      const known = bound.get(request.client);
      const valid = known && servers.includes(known.server) &&
        now - known.usedAt < SESSION_IDLE;
      const server = valid
        ? known.server
        : findLeastLoaded(servers, (each) =>
          each.reportedLoad + countClients(bound, each));
      if (server) bound.set(request.client, { server, usedAt: now });
      return server;
    },
    /** Unbinds every other client of a server. */
    releaseClients(server: Server): void {
      let count = 0;
      for (const [client, binding] of bound) {
        if (binding.server !== server) continue;
        if (count++ % 2 === 0) bound.delete(client);
      }
    },
  };
}

/**
 * Counts the clients bound to a server. They are added to its reported load,
 * since their next requests go there.
 */
function countClients(
  bound: Map<number, { server: Server }>,
  server: Server,
): number {
  let count = 0;
  for (const binding of bound.values()) if (binding.server === server) count++;
  return count;
}

/** Finds the first server of the least load; undefined if there is none. */
function findLeastLoaded(
  servers: Server[],
  load: (server: Server) => number,
): Server | undefined {
  let best: Server | undefined;
  for (const server of servers) {
    if (best === undefined || load(server) < load(best)) best = server;
  }
  return best;
}
