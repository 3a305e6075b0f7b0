/**
 * Sessions between agents and entries: ordered, delayed, silent at times.
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

/** One end of sessions: a process with its reducer. */
export interface Peer<Event> {
  id: string;
  incarnation: number;
  domain: string;
  process: Process;
  dispatch(event: Event): void;
  hello(): Hello;
  versions(): Versions;
}
export type EntryPeer = Peer<EntryEvent>;
export type AgentPeer = Peer<AgentEvent>;

type Side = "entry" | "agent";

/** A session of an agent with an entry. */
export interface Session {
  entry: EntryPeer;
  agent: AgentPeer;
  open: Record<Side, boolean>;
  /** Drops everything in both directions. */
  silent: boolean;
  /** Added to the delay. */
  extraDelay: Milliseconds;
  lastHeardAt: Record<Side, Milliseconds>;
  lastArrivalAt: Record<Side, Milliseconds>;
}

/** All sessions. */
export interface Sessions {
  readonly list: Session[];
  dial(agent: AgentPeer, entry: EntryPeer): void;
  sendToAgent(
    entry: EntryPeer,
    worker: string,
    incarnation: number,
    message: EntryMessage,
  ): void;
  sendToEntry(agent: AgentPeer, entry: string, message: AgentMessage): void;
  /** Closes a session at both ends, the other one after the delay. */
  close(session: Session): void;
  /** Ends all sessions of a process; a lost machine sends no reset. */
  disconnect(id: string, silently: boolean): void;
  isOpen(agent: AgentPeer, entry: string): boolean;
}

/** Creates the sessions. */
export function createSessions(fields: {
  heap: EventHeap;
  delay: (from: string, to: string) => Milliseconds;
  /** Sees every message before it is sent. */
  observe?: (
    session: Session,
    message: EntryMessage | AgentMessage,
    to: Side,
  ) => void;
}): Sessions {
  const { heap } = fields;
  let list: Session[] = [];

  function transmit(session: Session, to: Side, task: () => void): void {
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
        task();
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

  function open(session: Session, hello: Hello): void {
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
    beat(session, "entry");
    beat(session, "agent");
  }

  /** Heartbeat of one side, which also notices the silence of the other. */
  function beat(session: Session, side: Side): void {
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
          beat(session, side);
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
        if (ready) open(session, hello);
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
