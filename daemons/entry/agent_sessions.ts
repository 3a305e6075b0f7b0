/**
 * Sessions of an entry with the agents.
 *
 * @module
 */

import type { Result } from "neverthrow";
import type {
  Clock,
  EntryMessage,
  Hello,
  Message,
  StepError,
  Timer,
  Versions,
  WorkerId,
} from "@dragonflyledge/model";
import { listen } from "@dragonflyledge/session";
import type { Session, Traffic } from "@dragonflyledge/session";
import type { Observer } from "@dragonflyledge/runtime";

/** Callbacks for events of the sessions with agents. */
export interface AgentHandlers {
  /** An agent has opened a session, which may replace an earlier one. */
  onConnected: (hello: Hello) => void;
  /** The session with an agent has ended, and no newer one replaced it. */
  onLost: (worker: WorkerId, incarnation: number) => void;
  onMessage: (hello: Hello, message: Message) => void;
  /** A heartbeat has reported the versions that the agent uses. */
  onVersions: (worker: WorkerId, versions: Versions) => void;
}

/** Sessions with the agents that are connected to this entry. */
export interface AgentSessions {
  /** Port on which the entry listens for agents. */
  readonly port: number;
  /** Sends a message if this incarnation of the agent is connected. */
  send(worker: WorkerId, incarnation: number, message: EntryMessage): void;
  /** Closes the session if it is with this incarnation of the agent. */
  disconnect(worker: WorkerId, incarnation: number): void;
  /** Returns the traffic counters of all sessions. */
  traffic(): Traffic[];
  /** Stops listening and ends all sessions. */
  close(): Promise<void>;
}

/** Starts listening for agents; fails if the port cannot be opened. */
export async function acceptAgents(fields: {
  host: string;
  port: number;
  hello: () => Hello;
  versions: () => Versions;
  clock: Clock;
  timer: Timer;
  observer: Observer;
  handlers: AgentHandlers;
}): Promise<Result<AgentSessions, StepError>> {
  const { handlers, observer } = fields;
  const sessions = new Map<WorkerId, Session>();

  function open(session: Session): void {
    const worker = session.peer.id;
    const previous = sessions.get(worker);
    sessions.set(worker, session);
    // The newer session replaces the older one, whose connection may be dead.
    // The agent is not reported as lost, so its attempts are only queried.
    previous?.close("replaced by a newer session");
    handlers.onConnected(session.peer);
  }

  function lose(session: Session | undefined, error: StepError): void {
    observer.log("info", "Session ended.", {
      peer: error.peer,
      step: error.step,
      reason: error.message,
    });
    if (error.step === "heartbeat") {
      observer.count("sessions.heartbeats_missed", 1, { role: "agent" });
    }
    if (!session || sessions.get(session.peer.id) !== session) return;
    sessions.delete(session.peer.id);
    handlers.onLost(session.peer.id, session.peer.incarnation);
  }

  const listener = await listen({
    ...fields,
    accept: (hello, order) => checkHello(hello, order, sessions.get(hello.id)),
    handlers: {
      onOpen: open,
      onMessage: (session, message) => {
        if (sessions.get(session.peer.id) !== session) return;
        handlers.onMessage(session.peer, message);
      },
      onHeartbeat: (session, versions) =>
        handlers.onVersions(session.peer.id, versions),
      onClose: lose,
    },
  });
  return listener.map((port) => ({
    port: port.port,
    send: (worker, incarnation, message) => {
      const session = sessions.get(worker);
      if (session?.peer.incarnation === incarnation) session.send(message);
    },
    disconnect: (worker, incarnation) => {
      const session = sessions.get(worker);
      if (session?.peer.incarnation !== incarnation) return;
      session.close("the entry closed the session");
    },
    traffic: () => [...sessions.values()].map((session) => session.traffic),
    close: () => port.close(),
  }));
}

/**
 * Returns why the hello of an agent is refused, or undefined if it is accepted.
 * Neither an earlier incarnation nor an earlier connection of the same one, which
 * may deliver its hello late, must replace the session of a later one.
 */
function checkHello(
  hello: Hello,
  order: number,
  current: Session | undefined,
): string | undefined {
  if (hello.role !== "agent") return `expected an agent, not ${hello.role}`;
  if (!hello.inventory) return "an agent's hello must contain an inventory";
  if (!current) return undefined;
  const { incarnation } = current.peer;
  if (hello.incarnation < incarnation) {
    return "a later incarnation of this worker is connected";
  }
  if (hello.incarnation === incarnation && order < current.order) {
    return "a later connection of this worker has a session";
  }
  return undefined;
}
