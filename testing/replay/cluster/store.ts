/**
 * A fake store: maps in memory behind a delay, with outages.
 *
 * @module
 */

import { ENTRY_LEASE } from "@dragonflyledge/model";
import type {
  Claim,
  ClaimResult,
  Configuration,
  EntryPresence,
  HomesTable,
  JobRecord,
  Milliseconds,
} from "@dragonflyledge/model";
import type { EventHeap } from "../event_heap.ts";

export type StoreMode = "up" | "slow" | "down" | "losing";

/** A stored job with its revision. */
export interface StoredJob {
  record: JobRecord;
  revision: number;
}

/** What the store holds. */
export interface StoreContents {
  configuration: Configuration;
  homes: HomesTable | undefined;
  presence: Map<string, EntryPresence & { validUntil: Milliseconds }>;
  claims: Map<string, Claim>;
  jobs: Map<string, StoredJob>;
  revision: number;
  /** Number of changes of configuration, homes and presence. */
  changes: number;
}

/** A fake store. */
export interface Store {
  mode: StoreMode;
  readonly contents: StoreContents;
  /**
   * Applies an operation after the way to the store; `done` gets its result,
   * or nothing if the store did not answer.
   */
  call<Result>(
    apply: (contents: StoreContents) => Result,
    done: (result: Result | undefined) => void,
  ): void;
  /** Calls back, after a delay, whenever configuration, homes or presence changes. */
  watch(onChange: () => void): void;
  publishChange(): void;
}

const ONE_WAY_DELAY: Milliseconds = 1.5;
const SLOW_ONE_WAY_DELAY: Milliseconds = 400;
/** The caller gives up after this time, or reads a lost answer back. */
const CALL_TIMEOUT: Milliseconds = 900;
const WATCH_DELAY: Milliseconds = 5;
const SWEEP_INTERVAL: Milliseconds = 250;

/** Creates a store with a configuration and a homes table. */
export function createStore(fields: {
  heap: EventHeap;
  configuration: Configuration;
  homes?: HomesTable;
}): Store {
  const { heap, configuration, homes } = fields;
  const watchers: (() => void)[] = [];
  let calls = 0;
  const contents: StoreContents = {
    configuration,
    homes,
    presence: new Map(),
    claims: new Map(),
    jobs: new Map(),
    revision: 1,
    changes: 0,
  };

  function publishChange(): void {
    contents.changes++;
    for (const watcher of watchers) {
      heap.after(WATCH_DELAY, () => {
        if (store.mode !== "down") watcher();
      });
    }
  }

  function sweep(): void {
    for (const [id, entry] of contents.presence) {
      if (heap.now < entry.validUntil) continue;
      contents.presence.delete(id);
      publishChange();
    }
    heap.after(SWEEP_INTERVAL, sweep);
  }

  const store: Store = {
    mode: "up",
    contents,
    publishChange,
    watch: (watcher) => watchers.push(watcher),
    call(apply, done) {
      const oneWay = store.mode === "slow" ? SLOW_ONE_WAY_DELAY : ONE_WAY_DELAY;
      // Every second lost answer cannot be read back in time either.
      const lost = store.mode === "losing";
      const unread = lost && calls++ % 2 === 0;
      heap.after(oneWay, () => {
        if (store.mode === "down") {
          heap.after(CALL_TIMEOUT, () => done(undefined));
          return;
        }
        const result = apply(contents);
        if (unread) heap.after(CALL_TIMEOUT, () => done(undefined));
        else heap.after(lost ? CALL_TIMEOUT / 2 : oneWay, () => done(result));
      });
    },
  };
  heap.after(SWEEP_INTERVAL, sweep);
  return store;
}

/** Renews the lease of an entry, which creates it if it has lapsed. */
export function renewPresence(
  store: Store,
  contents: StoreContents,
  entry: EntryPresence,
  now: Milliseconds,
): void {
  const known = contents.presence.get(entry.id);
  contents.presence.set(entry.id, { ...entry, validUntil: now + ENTRY_LEASE });
  if (known?.incarnation !== entry.incarnation) store.publishChange();
}

/**
 * Creates claims, or returns those that are there. Claims of the same work
 * whose request did not run are replaced.
 */
export function createClaims(contents: StoreContents, claims: Claim[]) {
  return claims.map((claim): ClaimResult => {
    const key = claimKey(claim.team, claim.key);
    const known = contents.claims.get(key);
    if (known?.request === claim.request && known.entry === claim.entry) {
      return { kind: "created" };
    }
    const refused = known?.outcome?.kind === "not-run" &&
      known.fingerprint === claim.fingerprint;
    if (known && !refused) return { kind: "existing", claim: known };
    contents.claims.set(key, claim);
    return { kind: "created" };
  });
}

/** Key of a claim. */
export function claimKey(team: string, key: string): string {
  return `${team}/${key}`;
}

/** Writes a job record if its revision is current. */
export function writeJobRecord(
  contents: StoreContents,
  record: JobRecord,
  revision: number,
): {
  result: "stored" | "conflict";
  revision: number;
  current: JobRecord | undefined;
} {
  const known = contents.jobs.get(record.id);
  if ((known?.revision ?? 0) !== revision) {
    return {
      result: "conflict",
      revision: known?.revision ?? 0,
      current: structuredClone(known?.record),
    };
  }
  contents.revision++;
  const stored = {
    record: structuredClone(record),
    revision: contents.revision,
  };
  contents.jobs.set(record.id, stored);
  return { result: "stored", revision: stored.revision, current: undefined };
}
