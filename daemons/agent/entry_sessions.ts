/**
 * Sessions of an agent with the entries.
 *
 * @module
 */

import { MAX_ENTRIES_PER_AGENT, SESSION_TIMEOUT } from "@dragonflyledge/model";
import type {
  AgentMessage,
  Clock,
  EntryId,
  Hello,
  Message,
  Random,
  Timer,
  Versions,
} from "@dragonflyledge/model";
import { createDialer } from "@dragonflyledge/session";
import type { Dialer, Session } from "@dragonflyledge/session";
import type { Observer } from "@dragonflyledge/runtime";

/** What happens on the sessions with entries. */
export interface EntryHandlers {
  onConnected: (hello: Hello) => void;
  onLost: (entry: EntryId) => void;
  onMessage: (entry: EntryId, message: Message) => void;
  onVersions: (entry: EntryId, versions: Versions) => void;
}

/** Sessions with all entries that the agent should know. */
export interface EntrySessions {
  send(entry: EntryId, message: AgentMessage): void;
  /**
   * Replaces the set of entries to dial. A session with another entry goes on
   * until it ends, if that does not exceed the limit: after an outage of the
   * store, entries come back into the list one by one.
   */
  setEntries(entries: { id: EntryId; address: string }[]): void;
  close(): void;
}

/** Dials the seeds until a list of entries arrives, then the list. */
export function createEntrySessions(fields: {
  seeds: string[];
  hello: () => Hello;
  versions: () => Versions;
  clock: Clock;
  timer: Timer;
  random: Random;
  observer: Observer;
  handlers: EntryHandlers;
}): EntrySessions {
  const { handlers, observer, timer } = fields;
  const dialers = new Map<string, Dialer>();
  const sessions = new Map<EntryId, Session>();
  /** Addresses of dialers whose session is open. */
  const open = new Set<string>();
  let wanted = new Set<string>();
  let listed: string[] = [];
  let closed = false;
  let cancelSeeds = () => {};

  function enter(session: Session): void {
    const entry = session.peer.id;
    const previous = sessions.get(entry);
    sessions.set(entry, session);
    // The newer session wins, since the older one may have gone silent.
    if (previous) {
      previous.close("replaced by a newer session");
      handlers.onLost(entry);
    }
    handlers.onConnected(session.peer);
  }

  function lose(session: Session | undefined, reason: string): void {
    if (session === undefined) return;
    observer.log("info", "session ended", { entry: session.peer.id, reason });
    if (sessions.get(session.peer.id) !== session) return;
    sessions.delete(session.peer.id);
    handlers.onLost(session.peer.id);
    if (sessions.size === 0) returnToSeeds();
  }

  /** All known entries may have been replaced while none was reachable. */
  function returnToSeeds(): void {
    cancelSeeds();
    cancelSeeds = timer.after(SESSION_TIMEOUT, () => {
      if (sessions.size === 0) dialAll([...listed, ...fields.seeds]);
    });
  }

  function dialAll(addresses: string[]): void {
    if (closed) return;
    wanted = new Set(addresses);
    let spare = MAX_ENTRIES_PER_AGENT - wanted.size;
    for (const address of [...dialers.keys()]) {
      if (wanted.has(address)) continue;
      if (open.has(address) && spare-- > 0) continue;
      drop(address);
    }
    for (const address of wanted) {
      if (!dialers.has(address)) dialers.set(address, dial(address));
    }
  }

  function drop(address: string): void {
    const dialer = dialers.get(address);
    dialers.delete(address);
    dialer?.stop();
  }

  function dial(address: string): Dialer {
    return createDialer({
      address,
      hello: fields.hello,
      versions: fields.versions,
      clock: fields.clock,
      timer,
      random: fields.random,
      handlers: {
        onOpen: (session) => {
          open.add(address);
          enter(session);
        },
        onMessage: (session, message) => {
          if (sessions.get(session.peer.id) !== session) return;
          handlers.onMessage(session.peer.id, message);
        },
        onHeartbeat: (session, versions) =>
          handlers.onVersions(session.peer.id, versions),
        onClose: (session, error) => {
          open.delete(address);
          if (!wanted.has(address)) drop(address);
          lose(session, error.message);
        },
      },
    });
  }

  function close(): void {
    closed = true;
    cancelSeeds();
    for (const dialer of dialers.values()) dialer.stop();
  }

  dialAll(fields.seeds);
  return {
    send: (entry, message) => {
      sessions.get(entry)?.send(message);
    },
    setEntries: (entries) => {
      if (entries.length === 0) return;
      listed = entries.map((entry) => entry.address);
      dialAll(listed);
    },
    close,
  };
}
