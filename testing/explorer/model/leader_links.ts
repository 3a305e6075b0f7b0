/**
 * Model of a leader's links to the agents: dials, and closes silent ones.
 *
 * @module
 */

import type { Milliseconds } from "@dragonflyledge/model";
import type {
  AgentOrders,
  AgentReport,
  SchedulerEffect,
} from "@dragonflyledge/scheduler";
import type { LinkEnd, Network } from "./network.ts";
import type { Process } from "./process.ts";

const REDIAL_DELAY: Milliseconds = 250;
const SILENCE_LIMIT: Milliseconds = 2000;

type Orders = Extract<SchedulerEffect, { kind: "orders" }>["orders"];

interface AgentLink {
  link?: LinkEnd<AgentOrders>;
  dialledAt: Milliseconds;
  lastHeard: Milliseconds;
  /** `sentAt` of the last report over the current link. */
  lastReport?: Milliseconds;
}

/** Links to agents during one term. */
export interface LeaderLinks {
  connect(agent: number): void;
  disconnect(agent: number): void;
  send(agent: number, epoch: number, orders: Orders): void;
  closeSilent(): void;
  close(): void;
}

/** Creates the links of a term, without any at first. */
export function createLeaderLinks(fields: {
  leader: number;
  /** The clock of the leader's machine. */
  now: () => Milliseconds;
  network: Network;
  process: Process;
  onReport: (agent: number, report: AgentReport) => void;
  onDisconnected: (agent: number) => void;
}): LeaderLinks {
  const { now, network, process, leader } = fields;
  const agents = new Map<number, AgentLink>();
  let closed = false;

  function dial(name: number, agent: AgentLink): void {
    if (closed || agents.get(name) !== agent) return;
    agent.lastHeard = now();
    agent.dialledAt = now();
    const link = network.dial({
      leader,
      agent: name,
      onMessage: (report) =>
        process.run(() => {
          if (agent.link !== link) return;
          agent.lastHeard = now();
          agent.lastReport = report.sentAt;
          fields.onReport(name, report);
        }),
      onClose: () => process.run(() => noteClosed(name, agent, link)),
    });
    agent.link = link;
  }

  function noteClosed(
    name: number,
    agent: AgentLink,
    link: LinkEnd<AgentOrders>,
  ): void {
    if (agent.link !== link) return;
    const reported = agent.lastReport !== undefined;
    agent.link = undefined;
    agent.lastReport = undefined;
    const delay = agent.dialledAt + REDIAL_DELAY - now();
    process.after(Math.max(1, delay), () => dial(name, agent));
    if (!reported || closed) return;
    if (agents.get(name) === agent) fields.onDisconnected(name);
  }

  return {
    connect: (name) => {
      if (agents.has(name)) return;
      const agent = { dialledAt: 0, lastHeard: 0 };
      agents.set(name, agent);
      dial(name, agent);
    },
    disconnect: (name) => {
      const agent = agents.get(name);
      agents.delete(name);
      agent?.link?.close();
    },
    send: (name, epoch, orders) => {
      const agent = agents.get(name);
      if (!agent?.link || agent.lastReport === undefined) return;
      // Builds whose scheduler does not say which report it answers let the
      // link add it.
      const answered = { answersReport: agent.lastReport };
      const message = Object.assign(answered, orders);
      agent.link.send({ ...message, kind: "orders", epoch });
    },
    closeSilent: () => {
      const limit = now() - SILENCE_LIMIT;
      for (const agent of agents.values()) {
        if (agent.link && agent.lastHeard < limit) agent.link.close();
      }
    },
    close: () => {
      closed = true;
      for (const agent of agents.values()) agent.link?.close();
      agents.clear();
    },
  };
}
