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

/** Callbacks for events of the sessions with entries. */
export interface EntryHandlers {
  /** A session with an entry has opened. */
  onConnected: (hello: Hello) => void;
  /** The session with an entry has ended, or a newer one replaces it. */
  onLost: (entry: EntryId) => void;
  onMessage: (entry: EntryId, message: Message) => void;
  /** A heartbeat has reported the versions that the entry uses. */
  onVersions: (entry: EntryId, versions: Versions) => void;
}

/** Sessions with the entries that the agent is connected to. */
export interface EntrySessions {
  /** Sends a message if a session with the entry is open. */
  send(entry: EntryId, message: AgentMessage): void;
  /**
   * Replaces the list of entries to connect to. An empty list is ignored. Open
   * sessions with other entries are kept until they end, up to the limit of
   * `MAX_ENTRIES_PER_AGENT`, because the entries are listed again one by one
   * after an outage of the store.
   */
  setEntries(entries: { id: EntryId; address: string }[]): void;
  /** Ends all sessions and attempts to connect. */
  close(): void;
}

/**
 * Connects to the seed addresses, and to the listed entries once `setEntries`
 * has been called.
 */
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
  /** Addresses with an open session. */
  const open = new Set<string>();
  /** Addresses to which the agent keeps connecting. */
  let wanted = new Set<string>();
  /** Addresses from the last call of `setEntries`. */
  let listed: string[] = [];
  let closed = false;
  let cancelSeeds = () => {};

  function enter(session: Session): void {
    const entry = session.peer.id;
    const previous = sessions.get(entry);
    sessions.set(entry, session);
    // The newer session replaces the older one, whose connection may be dead.
    if (previous) {
      previous.close("replaced by a newer session");
      handlers.onLost(entry);
    }
    handlers.onConnected(session.peer);
  }

  function lose(session: Session | undefined, reason: string): void {
    if (session === undefined) return;
    observer.log("info", "Session ended.", { entry: session.peer.id, reason });
    if (sessions.get(session.peer.id) !== session) return;
    sessions.delete(session.peer.id);
    handlers.onLost(session.peer.id);
    if (sessions.size === 0) returnToSeeds();
  }

  /**
   * Connects to the seeds as well if no session opens within `SESSION_TIMEOUT`,
   * since all listed entries may have been replaced.
   */
  function returnToSeeds(): void {
    cancelSeeds();
    cancelSeeds = timer.after(SESSION_TIMEOUT, () => {
      if (sessions.size === 0) dialAll([...listed, ...fields.seeds]);
    });
  }

  function dialAll(addresses: string[]): void {
    if (closed) return;
    wanted = new Set(addresses);
    let unlistedLimit = MAX_ENTRIES_PER_AGENT - wanted.size;
    for (const address of [...dialers.keys()]) {
      if (wanted.has(address)) continue;
      if (open.has(address) && unlistedLimit-- > 0) continue;
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
