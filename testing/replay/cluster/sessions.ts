/**
 * Fake sessions between agents and entries. Messages of one direction arrive
 * in order after a delay. A session can be made silent, so that it drops all
 * messages.
 *
 * @module
 */

import { HEARTBEAT_INTERVAL, SESSION_TIMEOUT } from "@dragonflyledge/model";
import type {
  AgentEvent,
  AgentMessage,
  EntryEvent,
  EntryMessage,
  Hello,
  Milliseconds,
  Versions,
} from "@dragonflyledge/model";
import type { EventHeap } from "../event_heap.ts";
import type { Process } from "./process.ts";

/** An entry or agent as the sessions see it: a process with its reducer. */
export interface Peer<Event> {
  id: string;
  incarnation: number;
  domain: string;
  process: Process;
  /** Passes an event to the reducer and carries out its effects. */
  dispatch(event: Event): void;
  /** Creates the hello message that opens a session. */
  hello(): Hello;
  /** Returns the versions of configuration and homes table in force. */
  versions(): Versions;
}

/** An entry as a peer of sessions. */
export type EntryPeer = Peer<EntryEvent>;

/** An agent as a peer of sessions. */
export type AgentPeer = Peer<AgentEvent>;

type Side = "entry" | "agent";

/** A session of an agent with an entry. */
export interface Session {
  entry: EntryPeer;
  agent: AgentPeer;
  /** Whether each side takes the session for open. */
  open: Record<Side, boolean>;
  /** Whether the session drops all messages in both directions. */
  silent: boolean;
  /** Delay of each message on top of the usual one. */
  extraDelay: Milliseconds;
  /** When each side last received a message. */
  lastHeardAt: Record<Side, Milliseconds>;
  /** Latest arrival at each side; later messages do not arrive before it. */
  lastArrivalAt: Record<Side, Milliseconds>;
}

/** All sessions of a cluster. */
export interface Sessions {
  /** Sessions that are open at one side at least. */
  readonly list: Session[];
  /**
   * Opens a session after one round trip, in place of an older one of the same
   * worker and entry. Nothing happens if by then a process is dead, the entry
   * is paused, or it has a session with a newer incarnation of the agent.
   */
  dial(agent: AgentPeer, entry: EntryPeer): void;
  /** Sends a message, or drops it if the entry has no session open. */
  sendToAgent(
    entry: EntryPeer,
    worker: string,
    incarnation: number,
    message: EntryMessage,
  ): void;
  /** Sends a message, or drops it if the agent has no session open. */
  sendToEntry(agent: AgentPeer, entry: string, message: AgentMessage): void;
  /**
   * Closes a session for the agent at once and for the entry after the delay.
   * If the session is silent, the entry finds out by its timeout.
   */
  close(session: Session): void;
  /**
   * Closes all sessions of an entry or worker. If `silently`, they become
   * silent instead, since a lost machine sends no reset, and the peers notice
   * by their timeouts.
   */
  disconnect(id: string, silently: boolean): void;
  /** Tells whether the agent has an open session with the entry. */
  isOpen(agent: AgentPeer, entry: string): boolean;
}

/** Creates an empty set of sessions. */
export function createSessions(fields: {
  heap: EventHeap;
  /** Returns the one-way delay between two failure domains. */
  delay: (from: string, to: string) => Milliseconds;
  /** Called with every message before it is sent. */
  observe?: (
    session: Session,
    message: EntryMessage | AgentMessage,
    to: Side,
  ) => void;
}): Sessions {
  const { heap } = fields;
  let list: Session[] = [];

  function transmit(session: Session, to: Side, deliver: () => void): void {
    if (session.silent) return;
    const { entry, agent, extraDelay } = session;
    const delay = fields.delay(entry.domain, agent.domain) + extraDelay;
    const arrival = Math.max(heap.now + delay, session.lastArrivalAt[to]);
    session.lastArrivalAt[to] = arrival;
    heap.at(arrival, () => {
      if (session.silent) return;
      session[to].process.whenRunning(() => {
        if (!session.open[to]) return;
        session.lastHeardAt[to] = heap.now;
        deliver();
      });
    });
  }

  function closeSide(session: Session, side: Side): void {
    if (!session.open[side]) return;
    session.open[side] = false;
    const { entry, agent } = session;
    if (!session.open.entry && !session.open.agent) {
      list = list.filter((each) => each !== session);
    }
    session[side].process.whenRunning(() => {
      const now = heap.now;
      if (side === "agent") {
        agent.dispatch({ kind: "entryLost", now, entry: entry.id });
      } else {
        const { id: worker, incarnation } = agent;
        entry.dispatch({ kind: "agentLost", now, worker, incarnation });
      }
    });
  }

  function establish(session: Session, hello: Hello): void {
    const { entry, agent } = session;
    const previous = list.find((each) =>
      each.entry === entry && each.agent.id === agent.id && each.open.entry
    );
    if (previous && previous.agent.incarnation > agent.incarnation) return;
    list.push(session);
    session.open = { entry: true, agent: true };
    session.lastHeardAt = { entry: heap.now, agent: heap.now };
    if (previous) closeSide(previous, "entry");
    entry.dispatch({ kind: "agentConnected", now: heap.now, hello });
    const answer = entry.hello();
    transmit(session, "agent", () =>
      agent.dispatch({
        kind: "entryConnected",
        now: heap.now,
        entry: entry.id,
        hello: answer,
      }));
    scheduleHeartbeat(session, "entry");
    scheduleHeartbeat(session, "agent");
  }

  /**
   * Schedules the next heartbeat of one side. It closes that side instead if
   * nothing was received for the session timeout.
   */
  function scheduleHeartbeat(session: Session, side: Side): void {
    heap.after(
      HEARTBEAT_INTERVAL,
      () =>
        session[side].process.whenRunning(() => {
          if (!session.open[side]) return;
          if (heap.now - session.lastHeardAt[side] >= SESSION_TIMEOUT) {
            return closeSide(session, side);
          }
          const to: Side = side === "entry" ? "agent" : "entry";
          const versions = session[side].versions();
          transmit(session, to, () => deliverVersions(session, to, versions));
          scheduleHeartbeat(session, side);
        }),
    );
  }

  function deliverVersions(session: Session, to: Side, versions: Versions) {
    const { entry, agent } = session;
    const base = { kind: "peerVersions" as const, now: heap.now, versions };
    if (to === "agent") agent.dispatch({ ...base, entry: entry.id });
    else entry.dispatch({ ...base, worker: agent.id });
  }

  function close(session: Session): void {
    const { entry, agent } = session;
    const delay = fields.delay(entry.domain, agent.domain);
    closeSide(session, "agent");
    if (!session.silent) heap.after(delay, () => closeSide(session, "entry"));
  }

  return {
    get list() {
      return list;
    },
    isOpen: (agent, entry) =>
      list.some((each) =>
        each.agent === agent && each.entry.id === entry && each.open.agent
      ),
    dial(agent, entry) {
      const hello = agent.hello();
      const session: Session = {
        entry,
        agent,
        open: { entry: false, agent: false },
        silent: false,
        extraDelay: 0,
        lastHeardAt: { entry: 0, agent: 0 },
        lastArrivalAt: { entry: 0, agent: 0 },
      };
      const delay = 2 * fields.delay(agent.domain, entry.domain);
      heap.after(delay, () => {
        const ready = entry.process.alive && agent.process.alive &&
          heap.now >= entry.process.pausedUntil;
        if (ready) establish(session, hello);
      });
    },
    sendToAgent(entry, worker, incarnation, message) {
      const session = list.find((each) =>
        each.entry === entry && each.open.entry &&
        each.agent.id === worker && each.agent.incarnation === incarnation
      );
      if (session === undefined) return;
      fields.observe?.(session, message, "agent");
      transmit(session, "agent", () =>
        session.agent.dispatch({
          kind: "message",
          now: heap.now,
          entry: entry.id,
          message,
        }));
    },
    sendToEntry(agent, id, message) {
      const session = list.find((each) =>
        each.agent === agent && each.open.agent && each.entry.id === id
      );
      if (session === undefined) return;
      fields.observe?.(session, message, "entry");
      transmit(session, "entry", () =>
        session.entry.dispatch({
          kind: "message",
          now: heap.now,
          worker: agent.id,
          incarnation: agent.incarnation,
          message,
        }));
    },
    close,
    disconnect(id, silently) {
      for (const session of [...list]) {
        if (session.entry.id !== id && session.agent.id !== id) continue;
        if (silently) session.silent = true;
        else close(session);
      }
    },
  };
}
