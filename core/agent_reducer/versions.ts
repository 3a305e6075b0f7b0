/**
 * Exchange of the configuration and homes table with entries, and choice of the
 * entries to connect to.
 *
 * @module
 */

import { MAX_ENTRIES_PER_AGENT, SECOND } from "@dragonflyledge/model";
import type {
  Configuration,
  Entries,
  EntryId,
  HomesTable,
  Milliseconds,
  Versions,
} from "@dragonflyledge/model";
import { count, log, send } from "./state.ts";
import type { Core, Peer } from "./state.ts";
import { hash } from "./tombstones.ts";

/** A fetch that is not answered within this time is sent to another entry. */
export const FETCH_TIMEOUT = 500;
/**
 * An entry with older versions fetches the newer ones by itself. Only if it
 * still has the older ones after this time does this agent send them. Otherwise
 * all 860 agents would send them at once.
 */
export const LAG_GRACE = SECOND / 2;

/** Operations on versioned data. */
export interface VersionExchange {
  /** Takes a configuration over if it is newer. */
  configuration(configuration: Configuration): void;
  /** Takes a homes table over if it is newer. */
  homes(homes: HomesTable): void;
  /**
   * Compares an entry's versions with those of this agent: fetches newer data,
   * and sends it to an entry that keeps older data for `LAG_GRACE`.
   */
  compare(entry: EntryId, versions: Versions): void;
  /** Sends an entry what is newer than the versions that it names. */
  fetch(entry: EntryId, versions: Versions): void;
  /** Allows another fetch at once if the last one went to this entry. */
  handleEntryLost(entry: EntryId): void;
  /** Chooses the entries to hold sessions with from the live ones. */
  entries(message: Entries): void;
}

/** Creates the exchange; `onHomesChanged` is called after each newer table. */
export function createVersionExchange(fields: {
  core: Core;
  onHomesChanged: () => void;
}): VersionExchange {
  const { core, onHomesChanged } = fields;
  let fetching: { entry: EntryId; since: Milliseconds } | undefined;
  /** Entries of the last `dialEntries`, as JSON. */
  let dialedKey = "";

  /** Whether a version is newer than the one in force; logs or counts it. */
  function isNewer(kind: keyof Versions, version: number): boolean {
    if (version > versionsOf(core)[kind]) {
      log(core, "info", "A new version is in force.", { kind, version });
      return true;
    }
    count(core, "versions.ignored", { kind });
    return false;
  }

  function fetchFrom(entry: EntryId): void {
    const busy = fetching !== undefined &&
      core.now - fetching.since < FETCH_TIMEOUT;
    if (busy) return;
    fetching = { entry, since: core.now };
    send(core, entry, { kind: "fetch", versions: versionsOf(core) });
  }

  function sendNewer(entry: EntryId, versions: Versions): void {
    const { configuration, homes } = core.state;
    if (configuration && configuration.version > versions.configuration) {
      send(core, entry, { kind: "configuration", configuration });
    }
    if (homes && homes.version > versions.homes) {
      send(core, entry, { kind: "homes", homes });
    }
  }

  function updateLagging(peer: Peer): void {
    const own = versionsOf(core);
    if (!isBehind(peer.versions, own)) {
      peer.laggingSince = undefined;
      return;
    }
    peer.laggingSince ??= core.now;
    if (core.now - peer.laggingSince < LAG_GRACE) return;
    peer.laggingSince = core.now;
    sendNewer(peer.id, peer.versions);
  }

  return {
    configuration(configuration) {
      if (!isNewer("configuration", configuration.version)) return;
      core.state.configuration = configuration;
      fetching = undefined;
    },
    homes(homes) {
      if (!isNewer("homes", homes.version)) return;
      core.state.homes = homes;
      fetching = undefined;
      onHomesChanged();
    },
    compare(entry, versions) {
      const peer = core.peers.get(entry);
      if (peer === undefined) return;
      peer.versions = versions;
      if (isBehind(versionsOf(core), versions)) fetchFrom(entry);
      updateLagging(peer);
    },
    fetch: sendNewer,
    handleEntryLost(entry) {
      if (fetching?.entry === entry) fetching = undefined;
    },
    entries(message) {
      // An empty list would cut the agent off from all entries.
      if (message.entries.length === 0) return;
      const entries = chooseEntries(core.state.inventory.worker, message);
      const key = JSON.stringify(entries);
      if (key === dialedKey) return;
      dialedKey = key;
      core.effects.push({ kind: "dialEntries", entries });
    },
  };
}

/** Returns the versions of the data that this agent holds; 0 for none. */
export function versionsOf(core: Core): Versions {
  return {
    configuration: core.state.configuration?.version ?? 0,
    homes: core.state.homes?.version ?? 0,
  };
}

/** Whether any of the versions is lower than the other's. */
function isBehind(versions: Versions, other: Versions): boolean {
  return versions.configuration < other.configuration ||
    versions.homes < other.homes;
}

/**
 * Chooses entries by rendezvous hashing, so that a worker keeps its entries as
 * long as they live.
 */
function chooseEntries(worker: string, message: Entries): Entries["entries"] {
  return message.entries
    .map((entry) => ({ entry, score: hash(`${worker}|${entry.id}`, 0) }))
    .sort((left, right) =>
      right.score - left.score || (left.entry.id < right.entry.id ? -1 : 1)
    )
    .slice(0, MAX_ENTRIES_PER_AGENT)
    .map(({ entry }) => entry);
}
