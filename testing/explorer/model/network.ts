/**
 * Links between leaders and agents, former ones included.
 *
 * @module
 */

import type { Milliseconds } from "@dragonflyledge/model";
import type { AgentOrders, AgentReport } from "@dragonflyledge/scheduler";
import { Direction } from "../inputs.ts";
import type { Happening, Setup } from "../inputs.ts";
import type { Agenda } from "./agenda.ts";
import { createChannel } from "./channel.ts";
import type { Channel } from "./channel.ts";

const CONNECT_TIMEOUT: Milliseconds = 700;
/** Former links that can still be held or dropped. */
const KEPT_LINKS = 4;

/** What one end of a link gets. */
export interface LinkEvents<Message> {
  onMessage(message: Message): void;
  onClose(): void;
}

/** One end of a link. */
export interface LinkEnd<Message> {
  send(message: Message): void;
  close(): void;
}

/** Where a leader's connection to an agent ends, while its process runs. */
export type Listener = (
  end: LinkEnd<AgentReport>,
) => LinkEvents<AgentOrders>;

/** Links of all leaders and agents. */
export interface Network {
  listen(agent: number, listener: Listener | undefined): void;
  dial(
    fields: { leader: number; agent: number } & LinkEvents<AgentReport>,
  ): LinkEnd<AgentOrders>;
  disturb(
    happening: Extract<
      Happening,
      { kind: "hold" | "cut" | "drop" | "slow" }
    >,
  ): void;
}

type Item<Message> = { message: Message } | { closed: true };

interface Link {
  leader: number;
  down: Channel<Item<AgentOrders>>;
  up: Channel<Item<AgentReport>>;
  /** Tell the ends that the link is lost. */
  closeLeaderEnd(): void;
  closeAgentEnd(): void;
}

interface AgentSide {
  listener?: Listener;
  /** The newest first. */
  links: Link[];
  /** Time until which each leader can't connect. */
  cutUntil: Map<number, Milliseconds>;
  slow: { leader: number; delay: Milliseconds; until: Milliseconds }[];
}

/** Creates a network without links. */
export function createNetwork(
  { agenda, setup }: { agenda: Agenda; setup: Setup },
): Network {
  const sides = setup.agents.map((): AgentSide => ({
    links: [],
    cutUntil: new Map(),
    slow: [],
  }));

  function delayOf(agent: number, leader: number): Milliseconds {
    const now = agenda.now();
    const side = sides[agent]!;
    side.slow = side.slow.filter(({ until }) => until > now);
    return side.slow.reduce(
      (sum, each) => each.leader === leader ? sum + each.delay : sum,
      setup.agents[agent]!.linkDelays[leader]!,
    );
  }

  function cutLeft(agent: number, leader: number): Milliseconds {
    const until = sides[agent]!.cutUntil.get(leader) ?? 0;
    return Math.max(0, until - agenda.now());
  }

  const dial: Network["dial"] = ({ leader, agent, onMessage, onClose }) => {
    const side = sides[agent]!;
    let leaderOpen = true;
    let agentOpen = false;
    let events: LinkEvents<AgentOrders> | undefined;
    const delay = () => delayOf(agent, leader);
    const closeLeaderEnd = () => {
      if (!leaderOpen) return;
      leaderOpen = false;
      onClose();
    };
    const closeAgentEnd = () => {
      if (!agentOpen) return;
      agentOpen = false;
      events!.onClose();
    };
    const up = createChannel<Item<AgentReport>>({
      agenda,
      delay,
      deliver: (item) => {
        if ("closed" in item) closeLeaderEnd();
        else if (leaderOpen) onMessage(item.message);
      },
    });
    const down = createChannel<Item<AgentOrders>>({
      agenda,
      delay,
      deliver: (item) => {
        if ("closed" in item) closeAgentEnd();
        else if (agentOpen) events!.onMessage(item.message);
      },
    });
    const link = { leader, down, up, closeLeaderEnd, closeAgentEnd };
    const connect = () => {
      const left = cutLeft(agent, leader);
      if (left > 0) return agenda.after(left, connect);
      if (!leaderOpen) return;
      if (!side.listener) return agenda.after(delay(), closeLeaderEnd);
      agentOpen = true;
      side.links.unshift(link);
      side.links.splice(KEPT_LINKS);
      events = side.listener({
        send: (message) => {
          if (agentOpen) up.send({ message });
        },
        close: () => {
          agentOpen = false;
          up.send({ closed: true });
        },
      });
    };
    agenda.after(delay(), connect);
    agenda.after(CONNECT_TIMEOUT, () => {
      if (!agentOpen && !events) closeLeaderEnd();
    });
    return {
      send: (message) => {
        if (leaderOpen) down.send({ message });
      },
      close: () => {
        if (!leaderOpen) return;
        down.send({ closed: true });
        closeLeaderEnd();
      },
    };
  };

  const disturb: Network["disturb"] = (happening) => {
    const { agent } = happening;
    const side = sides[agent]!;
    switch (happening.kind) {
      case "hold": {
        const { link, direction, duration } = happening;
        const held = side.links[link];
        if (direction !== Direction.Up) held?.down.hold(duration);
        if (direction !== Direction.Down) held?.up.hold(duration);
        return;
      }
      case "cut": {
        const { leader, duration, lag } = happening;
        const until = agenda.now() + duration;
        const before = side.cutUntil.get(leader) ?? 0;
        side.cutUntil.set(leader, Math.max(before, until));
        for (const link of side.links) {
          if (link.leader !== leader) continue;
          link.down.hold(duration + lag);
          link.up.hold(duration + lag);
        }
        return;
      }
      case "drop": {
        const link = side.links[happening.link];
        if (!link) return;
        link.down.cut();
        link.up.cut();
        agenda.after(happening.leaderNotices, link.closeLeaderEnd);
        agenda.after(happening.agentNotices, link.closeAgentEnd);
        return;
      }
      case "slow": {
        const { leader, delay, duration } = happening;
        side.slow.push({ leader, delay, until: agenda.now() + duration });
      }
    }
  };

  return {
    listen: (agent, listener) => {
      sides[agent]!.listener = listener;
    },
    dial,
    disturb,
  };
}
