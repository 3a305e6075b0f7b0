/**
 * Configuration, homes table and list of entries as they spread.
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
 * A peer that lags fetches by itself; only one that still lags after this is
 * sent our versions. Otherwise all 860 agents would send theirs at once.
 */
export const LAG_GRACE = SECOND / 2;

/** Operations on versions. */
export interface VersionExchange {
  configuration(configuration: Configuration): void;
  homes(homes: HomesTable): void;
  /** Compares the versions of a peer with the own ones. */
  compare(entry: EntryId, versions: Versions): void;
  fetch(entry: EntryId, versions: Versions): void;
  handleEntryLost(entry: EntryId): void;
  entries(message: Entries): void;
}

/** Creates the exchange; `homesChanged` is called after each new table. */
export function createVersionExchange(fields: {
  core: Core;
  homesChanged: () => void;
}): VersionExchange {
  const { core, homesChanged } = fields;
  let fetching: { entry: EntryId; since: Milliseconds } | undefined;
  let dialed = "";

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

  function helpLagging(peer: Peer): void {
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
      homesChanged();
    },
    compare(entry, versions) {
      const peer = core.peers.get(entry);
      if (peer === undefined) return;
      peer.versions = versions;
      if (isBehind(versionsOf(core), versions)) fetchFrom(entry);
      helpLagging(peer);
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
      if (key === dialed) return;
      dialed = key;
      core.effects.push({ kind: "dialEntries", entries });
    },
  };
}

/** Versions that this agent holds. */
export function versionsOf(core: Core): Versions {
  return {
    configuration: core.state.configuration?.version ?? 0,
    homes: core.state.homes?.version ?? 0,
  };
}

function isBehind(versions: Versions, other: Versions): boolean {
  return versions.configuration < other.configuration ||
    versions.homes < other.homes;
}

/** The entries of this worker, by rendezvous hashing. */
function chooseEntries(worker: string, message: Entries): Entries["entries"] {
  return message.entries
    .map((entry) => ({ entry, score: hash(`${worker}|${entry.id}`, 0) }))
    .sort((left, right) =>
      right.score - left.score || (left.entry.id < right.entry.id ? -1 : 1)
    )
    .slice(0, MAX_ENTRIES_PER_AGENT)
    .map(({ entry }) => entry);
}
