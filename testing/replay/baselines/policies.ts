/**
 * Routing of requests in the baselines.
 *
 * @module
 */

import type { Milliseconds } from "@dragonflyledge/model";
import type { RequestRecord } from "../record.ts";
import type { Server } from "./servers.ts";

/** Chooses a server for a request; nothing keeps it in the central queue. */
export interface Policy {
  name: string;
  choose(
    request: RequestRecord,
    servers: Server[],
    now: Milliseconds,
  ): Server | undefined;
  /** Called at each load report. */
  onLoadReport?(servers: Server[]): void;
}

/** A client that is idle for this long opens a new session. */
const SESSION_IDLE: Milliseconds = 10_000;
/** A server hands clients back beyond this multiple of the mean load. */
const OVERLOAD_FACTOR = 1.5;
const OVERLOAD_MARGIN = 4;

/** One central queue; the first server with a free slot takes its head. */
export function firstFit(): Policy {
  return {
    name: "fcfs first fit",
    choose: (_request, servers) =>
      servers.find((each) => each.load < each.inventory.slots),
  };
}

/** The server with the fewest requests at the time of the call. */
export function leastLoaded(): Policy {
  return {
    name: "least loaded",
    choose: (_request, servers) =>
      findLeastLoaded(servers, (each) => each.load),
  };
}

/** The least-loaded server by last report, for each call. */
export function perCall(): Policy {
  return {
    name: "per call",
    choose: (_request, servers) =>
      findLeastLoaded(servers, (each) => each.reportedLoad),
  };
}

/** Bound to the least-loaded server when the session opens. */
export function sessionBased(): Policy {
  const sessions = createBindings();
  return { name: "session", choose: sessions.choose };
}

/** Bound likewise; overloaded servers hand half of their clients back. */
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
        if (server.reportedLoad > limit) sessions.handBack(server);
      }
    },
  };
}

/** All baselines, with fresh state. */
export function createPolicies(): Policy[] {
  return [firstFit(), leastLoaded(), sessionBased(), perCall(), onDemand()];
}

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
    handBack(server: Server): void {
      let count = 0;
      for (const [client, binding] of bound) {
        if (binding.server !== server) continue;
        if (count++ % 2 === 0) bound.delete(client);
      }
    },
  };
}

/** Sessions that a server holds count as load that is to come. */
function countClients(
  bound: Map<number, { server: Server }>,
  server: Server,
): number {
  let count = 0;
  for (const binding of bound.values()) if (binding.server === server) count++;
  return count;
}

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
