/**
 * Links from the leader to all agents.
 *
 * @module
 */

import { dialLink } from "@dragonflyledge/link";
import type { Link } from "@dragonflyledge/link";
import type { Log } from "@dragonflyledge/log";
import { parseAddress } from "@dragonflyledge/model";
import type { Clock, Milliseconds, Timer } from "@dragonflyledge/model";
import { decodeReport } from "@dragonflyledge/scheduler";
import type { AgentReport } from "@dragonflyledge/scheduler";

const CONNECT_TIMEOUT: Milliseconds = 700;
/** Shortest time between two attempts to connect to an agent. */
const REDIAL_DELAY: Milliseconds = 250;
/** A link over which no report came for this long is closed and redialled. */
const SILENCE_LIMIT: Milliseconds = 2000;

interface AgentLink {
  address: string;
  link?: Link;
  /** When the last attempt to connect began. */
  dialledAt: Milliseconds;
  lastHeard: Milliseconds;
  /** Whether a report came over the current link. */
  reported: boolean;
}

/** Links to agents during one term of leadership. */
export interface AgentLinks {
  /** Connects to the agent at `address`; redials whenever the link closes. */
  connect(name: string, address: string): void;
  /** Closes the link to an agent that was removed, and doesn't redial. */
  disconnect(name: string): void;
  /** Sends orders; returns false if no report came over the current link yet. */
  send(name: string, orders: Record<string, unknown>): boolean;
  /** Closes the links of silent agents, so that they are redialled. */
  closeSilent(): void;
  /** Closes all links for good. */
  close(): void;
}

/**
 * Creates an empty set of links; the agents' reports go to `onReport`. When a
 * link over which reports came has closed, `onDisconnected` is called.
 */
export function createAgentLinks(fields: {
  clock: Clock;
  timer: Timer;
  log: Log;
  onReport: (agent: string, report: AgentReport) => void;
  onDisconnected: (agent: string) => void;
}): AgentLinks {
  const { clock, timer, log } = fields;
  const agents = new Map<string, AgentLink>();
  let closed = false;

  function dial(name: string, agent: AgentLink): void {
    if (closed || agents.get(name) !== agent) return;
    const address = parseAddress(agent.address);
    if (!address) return log.warn("An agent has no address.", { agent: name });
    agent.lastHeard = clock.now();
    agent.dialledAt = clock.now();
    const link = dialLink({
      ...address,
      timeout: CONNECT_TIMEOUT,
      timer,
      onOpen: () => {
        agent.lastHeard = clock.now();
        log.info("Agent connected.", { agent: name });
      },
      onMessage: (message) => {
        if (agent.link !== link) return;
        const report = decodeReport(message);
        if (!report) return link.close();
        agent.lastHeard = clock.now();
        agent.reported = true;
        fields.onReport(name, report);
      },
      onClose: (reason) => {
        const { reported } = agent;
        agent.link = undefined;
        agent.reported = false;
        const delay = agent.dialledAt + REDIAL_DELAY - clock.now();
        timer.after(Math.max(0, delay), () => dial(name, agent));
        if (!reported || closed) return;
        log.info("Agent disconnected.", { agent: name, reason });
        if (agents.get(name) === agent) fields.onDisconnected(name);
      },
    });
    agent.link = link;
  }

  return {
    connect: (name, address) => {
      const known = agents.get(name);
      if (known?.address === address) return;
      const now = clock.now();
      const agent: AgentLink = {
        address,
        dialledAt: now,
        lastHeard: now,
        reported: false,
      };
      known?.link?.close();
      agents.set(name, agent);
      dial(name, agent);
    },
    disconnect: (name) => {
      const agent = agents.get(name);
      agents.delete(name);
      agent?.link?.close();
    },
    send: (name, orders) => {
      const agent = agents.get(name);
      if (!agent?.link || !agent.reported) return false;
      agent.link.send(orders);
      return true;
    },
    closeSilent: () => {
      const limit = clock.now() - SILENCE_LIMIT;
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
