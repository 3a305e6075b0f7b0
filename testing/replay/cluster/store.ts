/**
 * Fake store: maps in memory that answer after a delay and can fail.
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

/**
 * How the store treats calls:
 * - `up`: answers after a round trip.
 * - `slow`: answers too, but takes much longer.
 * - `down`: drops calls and watch notifications; callers time out.
 * - `losing`: applies the operation but loses the answer. Half of the callers
 *   can read the result back, the others time out.
 */
export type StoreMode = "up" | "slow" | "down" | "losing";

/** A stored job record and the revision of its last write. */
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
  /** Revision of the last job record written. */
  revision: number;
  /** Number of changes of configuration, homes and presence. */
  changes: number;
}

/** A fake store. Its mode can change at any time. */
export interface Store {
  mode: StoreMode;
  readonly contents: StoreContents;
  /**
   * Applies an operation when the call reaches the store. `done` gets its
   * result, or undefined if the store did not answer in time.
   */
  call<Result>(
    apply: (contents: StoreContents) => Result,
    done: (result: Result | undefined) => void,
  ): void;
  /**
   * Calls back, after a delay, whenever configuration, homes table or presence
   * changes. A store that is down when the delay ends does not call back.
   */
  watch(onChange: () => void): void;
  /** Counts a change and notifies the watchers. */
  publishChange(): void;
}

/** One-way delay between an entry and the store. */
const ONE_WAY_DELAY: Milliseconds = 1.5;
/** One-way delay in mode `slow`. */
const SLOW_ONE_WAY_DELAY: Milliseconds = 400;
/**
 * A caller that gets no answer gives up after this time. If it can read a lost
 * answer back, that takes half of this time.
 */
const CALL_TIMEOUT: Milliseconds = 900;
/** Delay between a change and the call of its watchers. */
const WATCH_DELAY: Milliseconds = 5;
/** Interval at which expired leases of entries are removed. */
const SWEEP_INTERVAL: Milliseconds = 250;

/**
 * Creates a store in mode `up` that holds a configuration and, if given, a
 * homes table.
 */
export function createStore(fields: {
  heap: EventHeap;
  configuration: Configuration;
  homes?: HomesTable;
}): Store {
  const { heap, configuration, homes } = fields;
  const watchers: (() => void)[] = [];
  let lostAnswers = 0;
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

  function removeExpired(): void {
    for (const [id, entry] of contents.presence) {
      if (heap.now < entry.validUntil) continue;
      contents.presence.delete(id);
      publishChange();
    }
    heap.after(SWEEP_INTERVAL, removeExpired);
  }

  const store: Store = {
    mode: "up",
    contents,
    publishChange,
    watch: (watcher) => watchers.push(watcher),
    call(apply, done) {
      const oneWay = store.mode === "slow" ? SLOW_ONE_WAY_DELAY : ONE_WAY_DELAY;
      // Every second lost answer cannot be read back before the timeout either.
      const lost = store.mode === "losing";
      const unreadable = lost && lostAnswers++ % 2 === 0;
      heap.after(oneWay, () => {
        if (store.mode === "down") {
          heap.after(CALL_TIMEOUT, () => done(undefined));
          return;
        }
        const result = apply(contents);
        if (unreadable) heap.after(CALL_TIMEOUT, () => done(undefined));
        else heap.after(lost ? CALL_TIMEOUT / 2 : oneWay, () => done(result));
      });
    },
  };
  heap.after(SWEEP_INTERVAL, removeExpired);
  return store;
}

/**
 * Renews the presence of an entry, or creates it if its lease has expired.
 * Watchers are notified only if the incarnation is new.
 */
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
 * Creates claims, and returns for each claim whether it was created or which
 * claim exists already. An existing claim is replaced if it has the same
 * fingerprint and its request did not run. A claim that the same entry repeats
 * for the same request counts as created.
 */
export function createClaims(contents: StoreContents, claims: Claim[]) {
  return claims.map((claim): ClaimResult => {
    const key = claimKey(claim.team, claim.key);
    const known = contents.claims.get(key);
    if (known?.request === claim.request && known.entry === claim.entry) {
      return { kind: "created" };
    }
    const replaceable = known?.outcome?.kind === "not-run" &&
      known.fingerprint === claim.fingerprint;
    if (known && !replaceable) return { kind: "existing", claim: known };
    contents.claims.set(key, claim);
    return { kind: "created" };
  });
}

/** Returns the key under which the store holds a claim. */
export function claimKey(team: string, key: string): string {
  return `${team}/${key}`;
}

/**
 * Writes a job record if `revision` is the current one, which is 0 for a job
 * that is not stored. In a conflict it returns the stored record instead.
 */
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
