/**
 * An entry with its store calls and callers.
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

const TICK_INTERVAL: Milliseconds = 10;
const SETTLE_TRIES = 30;

/** A running entry. */
export interface EntryProcess extends EntryPeer {
  reducer: EntryReducer;
  stop(): void;
}

/** Starts an entry. */
export function startEntry(fields: {
  heap: EventHeap;
  id: string;
  incarnation: number;
  domain: string;
  seed: number;
  store: Store;
  sessions: Sessions;
  respond: (request: string, outcome: Outcome) => void;
  answerSubmission: (
    effect: Extract<EntryEffect, { kind: "answerSubmission" }>,
  ) => void;
  onExit: (entry: EntryProcess) => void;
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
    for (const effect of reducer.reduce(event)) perform(effect);
  }

  /** Calls the store and turns the result into an event. */
  function call<Result>(
    apply: (contents: StoreContents) => Result,
    toEvent: (result: Result | undefined) => EntryEvent | undefined,
  ): void {
    store.call(apply, (result) =>
      process.whenRunning(() => {
        const event = toEvent(result);
        if (event) dispatch(event);
      }));
  }

  function perform(effect: EntryEffect): void {
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
        return claim(effect.claims);
      case "settleClaim":
        return settle(effect.claim, SETTLE_TRIES);
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
        return readShared();
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

  function claim(claims: Claim[]): void {
    const requests = claims.map((each) => each.request);
    call(
      (contents) => structuredClone(createClaims(contents, claims)),
      (results) => ({
        kind: "claimsAnswered",
        now: heap.now,
        requests,
        results,
      }),
    );
  }

  function settle(claim: Claim, tries: number): void {
    if (tries === 0) return;
    store.call(
      (contents) => {
        const key = claimKey(claim.team, claim.key);
        // The store leaves the claim of another request as it is.
        const same = contents.claims.get(key)?.request === claim.request;
        if (same) contents.claims.set(key, claim);
        return true;
      },
      (result) => {
        if (result) return;
        heap.after(
          SECOND,
          () => process.whenRunning(() => settle(claim, tries - 1)),
        );
      },
    );
  }

  function readClaim(
    effect: Extract<EntryEffect, { kind: "readClaim" }>,
  ): void {
    const { request } = effect;
    call(
      (contents) => contents.claims.get(claimKey(effect.team, effect.key)),
      (claim) => ({ kind: "claimRead", now: heap.now, request, claim }),
    );
  }

  function writeJob(effect: Extract<EntryEffect, { kind: "writeJob" }>): void {
    const { write, record, revision } = effect;
    const copy = structuredClone(record);
    call(
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
    call(
      (contents) => structuredClone([...contents.jobs.values()]),
      (jobs) => jobs && { kind: "jobsLoaded", now: heap.now, jobs },
    );
  }

  function writeHomes(
    effect: Extract<EntryEffect, { kind: "writeHomes" }>,
  ): void {
    const homes = structuredClone(effect.homes);
    call(
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

  /** An older reading that comes after a newer one is ignored. */
  function readShared(): void {
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

  function renew(): void {
    const sentAt = heap.now;
    call(
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
  renew();
  readShared();
  loadJobs();
  process.repeat(ENTRY_RENEWAL_INTERVAL, renew);
  process.repeat(
    TICK_INTERVAL,
    () => dispatch({ kind: "tick", now: heap.now }),
  );
  store.watch(() => {
    if (process.alive) process.whenRunning(readShared);
  });
  return entry;
}
