/**
 * Simulated entry: the real reducer, whose effects are carried out on a fake
 * store, sessions and callers.
 *
 * @module
 */

import { createEntryReducer } from "@dragonflyledge/entry-reducer";
import type { EntryReducer } from "@dragonflyledge/entry-reducer";
import {
  createRandom,
  ENTRY_LEASE,
  ENTRY_RENEWAL_INTERVAL,
  PROTOCOL_VERSION,
  SECOND,
} from "@dragonflyledge/model";
import type {
  Claim,
  EntryEffect,
  EntryEvent,
  EntryPresence,
  Milliseconds,
  Outcome,
  Versions,
} from "@dragonflyledge/model";
import type { EventHeap } from "../event_heap.ts";
import { createProcess } from "./process.ts";
import type { EntryPeer, Sessions } from "./sessions.ts";
import {
  claimKey,
  createClaims,
  renewPresence,
  writeJobRecord,
} from "./store.ts";
import type { Store, StoreContents } from "./store.ts";

/** Interval of the `tick` events. */
const TICK_INTERVAL: Milliseconds = 10;
/** Number of store calls before an entry gives up settling a claim. */
const SETTLE_TRIES = 30;

/** One incarnation of an entry. */
export interface EntryProcess extends EntryPeer {
  reducer: EntryReducer;
  /** Asks the entry to shut down. */
  stop(): void;
}

/**
 * Starts an entry, which reads the store and creates its presence at once. The
 * agents open the sessions.
 */
export function startEntry(fields: {
  heap: EventHeap;
  id: string;
  incarnation: number;
  domain: string;
  seed: number;
  store: Store;
  sessions: Sessions;
  /** Passes the outcome of a request to its caller. */
  respond: (request: string, outcome: Outcome) => void;
  /** Passes the answer to a job submission to its caller. */
  answerSubmission: (
    effect: Extract<EntryEffect, { kind: "answerSubmission" }>,
  ) => void;
  /** Called when the entry exits by itself. */
  onExit: (entry: EntryProcess) => void;
  /** Called with the versions in force after each read of the store. */
  onVersions: (id: string, versions: Versions) => void;
}): EntryProcess {
  const { heap, id, incarnation, domain, store, sessions } = fields;
  const reducer = createEntryReducer({
    id,
    incarnation,
    random: createRandom(fields.seed),
    failureDomain: domain,
  });
  const process = createProcess(heap);
  /** Value of `changes` in the newest read of the store. */
  let seenChanges = 0;
  const address = `${id}:1`;
  const presence: EntryPresence = {
    id,
    incarnation,
    address,
    httpAddress: address,
  };

  function dispatch(event: EntryEvent): void {
    if (!process.alive) return;
    for (const effect of reducer.reduce(event)) performEffect(effect);
  }

  /**
   * Calls the store and dispatches the event made from the result, which is
   * undefined if the store did not answer.
   */
  function callStore<Result>(
    apply: (contents: StoreContents) => Result,
    toEvent: (result: Result | undefined) => EntryEvent | undefined,
  ): void {
    store.call(apply, (result) =>
      process.whenRunning(() => {
        const event = toEvent(result);
        if (event) dispatch(event);
      }));
  }

  function performEffect(effect: EntryEffect): void {
    switch (effect.kind) {
      case "send": {
        const { worker, incarnation, message } = effect;
        return sessions.sendToAgent(entry, worker, incarnation, message);
      }
      case "disconnect":
        return disconnect(effect.worker, effect.incarnation);
      case "respond":
        return fields.respond(effect.request, effect.outcome);
      case "claim":
        return createClaimsInStore(effect.claims);
      case "settleClaim":
        return settleClaim(effect.claim, SETTLE_TRIES);
      case "readClaim":
        return readClaim(effect);
      case "writeJob":
        return writeJob(effect);
      case "answerSubmission":
        return fields.answerSubmission(effect);
      case "loadJobs":
        return loadJobs();
      case "writeHomes":
        return writeHomes(effect);
      case "fetchConfiguration":
        return readSharedState();
      case "exit":
        process.alive = false;
        return fields.onExit(entry);
    }
  }

  function disconnect(worker: string, incarnation: number): void {
    const session = sessions.list.find((each) =>
      each.entry === entry && each.agent.id === worker &&
      each.agent.incarnation === incarnation
    );
    if (session) sessions.close(session);
  }

  function createClaimsInStore(claims: Claim[]): void {
    const requests = claims.map((each) => each.request);
    callStore(
      (contents) => structuredClone(createClaims(contents, claims)),
      (results) => ({
        kind: "claimsAnswered",
        now: heap.now,
        requests,
        results,
      }),
    );
  }

  /**
   * Writes the final state of a claim. Tries again after a second if the store
   * does not answer.
   */
  function settleClaim(claim: Claim, tries: number): void {
    if (tries === 0) return;
    store.call(
      (contents) => {
        const key = claimKey(claim.team, claim.key);
        // The key may belong to the claim of another request, which is kept.
        const same = contents.claims.get(key)?.request === claim.request;
        if (same) contents.claims.set(key, claim);
        return true;
      },
      (result) => {
        if (result) return;
        heap.after(
          SECOND,
          () => process.whenRunning(() => settleClaim(claim, tries - 1)),
        );
      },
    );
  }

  function readClaim(
    effect: Extract<EntryEffect, { kind: "readClaim" }>,
  ): void {
    const { request } = effect;
    callStore(
      (contents) => contents.claims.get(claimKey(effect.team, effect.key)),
      (claim) => ({ kind: "claimRead", now: heap.now, request, claim }),
    );
  }

  function writeJob(effect: Extract<EntryEffect, { kind: "writeJob" }>): void {
    const { write, record, revision } = effect;
    const copy = structuredClone(record);
    callStore(
      (contents) => writeJobRecord(contents, copy, revision),
      (result) => ({
        kind: "jobWritten",
        now: heap.now,
        job: copy.id,
        write,
        result: result?.result ?? "unavailable",
        revision: result?.revision ?? 0,
        current: result?.current,
      }),
    );
  }

  function loadJobs(): void {
    callStore(
      (contents) => structuredClone([...contents.jobs.values()]),
      (jobs) => jobs && { kind: "jobsLoaded", now: heap.now, jobs },
    );
  }

  function writeHomes(
    effect: Extract<EntryEffect, { kind: "writeHomes" }>,
  ): void {
    const homes = structuredClone(effect.homes);
    callStore(
      (contents) => {
        const known = contents.homes?.version ?? 0;
        if (known !== homes.version - 1) return "conflict" as const;
        contents.homes = homes;
        store.publishChange();
        return "stored" as const;
      },
      (result = "unavailable" as never) => ({
        kind: "homesWritten",
        now: heap.now,
        version: homes.version,
        result,
      }),
    );
  }

  /**
   * Reads configuration, homes table and presence of all entries. A result that
   * is older than one received before is ignored.
   */
  function readSharedState(): void {
    store.call(
      (contents) => ({
        changes: contents.changes,
        configuration: contents.configuration,
        homes: contents.homes,
        entries: [...contents.presence.values()].map((each) => ({
          id: each.id,
          incarnation: each.incarnation,
          address: each.address,
          httpAddress: each.httpAddress,
        })),
      }),
      (read) => {
        if (read === undefined) return;
        process.whenRunning(() => {
          if (read.changes < seenChanges) return;
          seenChanges = read.changes;
          const { configuration, homes, entries } = structuredClone(read);
          const now = heap.now;
          dispatch({ kind: "configurationSeen", now, configuration });
          if (homes) dispatch({ kind: "homesSeen", now, homes });
          dispatch({ kind: "entriesSeen", now, entries });
          fields.onVersions(`${id}#${incarnation}`, versions());
        });
      },
    );
  }

  /**
   * Renews the lease of the entry. It counts from the time of sending, so
   * that it never ends later for the entry than for the store.
   */
  function renewLease(): void {
    const sentAt = heap.now;
    callStore(
      (contents) => {
        renewPresence(store, contents, presence, heap.now);
        return true;
      },
      (renewed) =>
        renewed
          ? {
            kind: "leaseRenewed",
            now: heap.now,
            validUntil: sentAt + ENTRY_LEASE,
          }
          : undefined,
    );
  }

  function versions(): Versions {
    return {
      configuration: reducer.state.configuration?.version ?? 0,
      homes: reducer.state.homes?.version ?? 0,
    };
  }

  const entry: EntryProcess = {
    id,
    incarnation,
    domain,
    process,
    reducer,
    dispatch,
    versions,
    hello: () => ({
      kind: "hello",
      protocol: PROTOCOL_VERSION,
      role: "entry",
      id,
      incarnation,
      versions: versions(),
      address,
    }),
    stop: () => dispatch({ kind: "stopRequested", now: heap.now }),
  };
  renewLease();
  readSharedState();
  loadJobs();
  process.repeat(ENTRY_RENEWAL_INTERVAL, renewLease);
  process.repeat(
    TICK_INTERVAL,
    () => dispatch({ kind: "tick", now: heap.now }),
  );
  store.watch(() => {
    if (process.alive) process.whenRunning(readSharedState);
  });
  return entry;
}
