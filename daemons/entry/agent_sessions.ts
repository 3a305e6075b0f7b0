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

/** What happens on the sessions with agents. */
export interface AgentHandlers {
  onConnected: (hello: Hello) => void;
  onLost: (worker: WorkerId, incarnation: number) => void;
  onMessage: (hello: Hello, message: Message) => void;
  onVersions: (worker: WorkerId, versions: Versions) => void;
}

/** Sessions with all agents that have dialled this entry. */
export interface AgentSessions {
  readonly port: number;
  send(worker: WorkerId, incarnation: number, message: EntryMessage): void;
  disconnect(worker: WorkerId, incarnation: number): void;
  traffic(): Traffic[];
  close(): Promise<void>;
}

/** Starts to accept agents. */
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
    // The newer session wins, since the older one may have gone silent. The
    // agent is not lost meanwhile, so that its attempts are only queried.
    previous?.close("replaced by a newer session");
    handlers.onConnected(session.peer);
  }

  function lose(session: Session | undefined, error: StepError): void {
    observer.log("info", "session ended", {
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
    accept: (hello) => checkHello(hello, sessions.get(hello.id)?.peer),
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
      session.close("the entry gave up the session");
    },
    traffic: () => [...sessions.values()].map((session) => session.traffic),
    close: () => port.close(),
  }));
}

/** A process that was replaced must not take the place of its successor. */
function checkHello(
  hello: Hello,
  current: Hello | undefined,
): string | undefined {
  if (hello.role !== "agent") return `expected an agent, not ${hello.role}`;
  if (!hello.inventory) return "the hello of an agent carries an inventory";
  if (current && hello.incarnation < current.incarnation) {
    return "a later incarnation of this worker is connected";
  }
  return undefined;
}
