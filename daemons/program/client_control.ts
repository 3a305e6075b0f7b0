/**
 * What the listeners of a process share to bound their clients: settings, the
 * byte budget, clocks and reports.
 *
 * @module
 */

import type { Instruments } from "@dragonflyledge/exposition";
import type { listenLinks } from "@dragonflyledge/link";
import type { Log } from "@dragonflyledge/log";
import { SECOND } from "@dragonflyledge/model";
import type { Clock, Milliseconds, Timer } from "@dragonflyledge/model";
import type { ClientLimits } from "@dragonflyledge/platform";
import { createBodyBuffers } from "./body_buffer.ts";
import type { BodyBuffers } from "./body_buffer.ts";
import { createGarbage } from "./garbage.ts";
import type { Garbage } from "./garbage.ts";
import { createByteBudget } from "./byte_budget.ts";
import type { ByteBudget } from "./byte_budget.ts";

/** Time between two log lines on the same limit of the same listener. */
const REPORT_INTERVAL: Milliseconds = 10 * SECOND;

/** A limit that acts on clients. */
export const Limit = {
  /** Connections at a time. */
  Connections: "connections",
  /** Time until the headers of a request are complete. */
  HeaderTimeout: "header-timeout",
  /** Bytes or fields of the headers. */
  Headers: "headers",
  /** Time until a body is complete. */
  BodyTimeout: "body-timeout",
  /** Bytes of a body. */
  Body: "body",
  /** Unanswered requests of one connection. */
  Pipelined: "pipelined",
  /** Time for which an answer is not read. */
  ResponseTimeout: "response-timeout",
  /** Bytes that all requests hold. */
  Budget: "budget",
  /** Bytes that the requests of one team or address hold. */
  Owner: "owner",
  /** Links from other processes at a time. */
  Links: "links",
  /** Bytes of incomplete frames on links. */
  Frames: "frames",
} as const;
export type Limit = typeof Limit[keyof typeof Limit];

/** Shared by all listeners of a process. */
export interface ClientControl {
  limits: ClientLimits;
  budget: ByteBudget;
  buffers: BodyBuffers;
  garbage: Garbage;
  clock: Clock;
  timer: Timer;
  /** Reports that a limit acted on `client`, a team or an address. */
  report(listener: string, limit: Limit, client: string): void;
}

/** Limits of links, and what is called when one acts. */
export type LinkControl = Pick<
  Parameters<typeof listenLinks>[0],
  "limits" | "onLimit"
>;

/** Returns the limits of a process's links. */
export function limitLinks(clients: ClientControl): LinkControl {
  const { links, linkBytes } = clients.limits;
  return {
    limits: { links, bufferedBytes: linkBytes },
    onLimit: (reason, address, freedBytes) => {
      const limit = reason === "links" ? Limit.Links : Limit.Frames;
      clients.report("links", limit, address);
      clients.garbage.addOld(freedBytes);
    },
  };
}

/** Creates what the listeners of a process share. */
export function createClientControl(fields: {
  limits: ClientLimits;
  clock: Clock;
  timer: Timer;
  log: Log;
  instruments: Instruments;
}): ClientControl {
  const { limits, clock, timer, log, instruments } = fields;
  const reports = new Map<string, { at: Milliseconds; times: number }>();
  const { bytes: capacity, ownerShare } = limits;
  const garbage = createGarbage();

  function report(listener: string, limit: Limit, client: string): void {
    instruments.increment("client_limits_total", { listener, limit });
    const key = `${listener} ${limit}`;
    const last = reports.get(key) ?? { at: -Infinity, times: 0 };
    last.times++;
    reports.set(key, last);
    if (clock.now() - last.at < REPORT_INTERVAL) return;
    const { times } = last;
    log.warn("A limit acts on clients.", { listener, limit, client, times });
    reports.set(key, { at: clock.now(), times: 0 });
  }

  return {
    limits,
    budget: createByteBudget({ capacity, ownerShare, clock }),
    buffers: createBodyBuffers({ garbage, keptBytes: capacity / 2 }),
    garbage,
    clock,
    timer,
    report,
  };
}
