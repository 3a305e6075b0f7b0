/**
 * Counts the store calls of whole entries on the in-memory store, in virtual
 * time.
 *
 * @module
 */

import { createGuardedRecords, startEntry } from "@dragonflyledge/entry";
import type { Entry, Records } from "@dragonflyledge/entry";
import { createManualClock, createMemoryStore } from "@dragonflyledge/fakes";
import type { MemoryStore } from "@dragonflyledge/fakes";
import { createRandom, MINUTE, SECOND } from "@dragonflyledge/model";
import type { Claim, Milliseconds } from "@dragonflyledge/model";
import { measureSlope } from "./slope.ts";
import type { Slope } from "./slope.ts";
import { createConfiguration } from "./target.ts";

const ENTRIES = [2, 4, 6];
const KEYED_REQUESTS = [1, 10, 100];
const PREFIX = "/dragonflyledge/";
/** Time in which entries register, and write and read the homes table. */
const START_TIME: Milliseconds = 15 * SECOND;
const STEADY_TIME: Milliseconds = 2 * MINUTE;
const CHANGE_TIME: Milliseconds = 4 * SECOND;

interface Calls {
  reads: number;
  writes: number;
}

interface Counts {
  /** Calls a second. */
  steady: Calls;
  /** Calls of one change, beyond those of the steady state. */
  change: Calls;
}

/** Calls in steady state, for a change of the configuration and for claims. */
export async function measureStoreCalls(seed: number): Promise<Slope[]> {
  const counts = new Map<number, Counts>();
  for (const entries of ENTRIES) {
    counts.set(entries, await countCalls(entries, seed));
  }
  const claims = new Map<number, number>();
  for (const count of KEYED_REQUESTS) {
    claims.set(count, await countClaims(count, seed));
  }
  const by = (
    name: string,
    unit: string,
    value: (counts: Counts) => number,
  ) =>
    measureSlope({
      name,
      unit,
      over: "entries",
      sizes: ENTRIES,
      measure: (n) => value(counts.get(n)!),
    });
  return [
    by("store, steady", "reads/s", ({ steady }) => steady.reads),
    by("store, steady", "writes/s", ({ steady }) => steady.writes),
    by("store, one change", "reads", ({ change }) => change.reads),
    by("store, one change", "writes", ({ change }) => change.writes),
    measureSlope({
      name: "store, keyed requests",
      unit: "writes",
      over: "requests",
      sizes: KEYED_REQUESTS,
      measure: (count) => claims.get(count)!,
    }),
  ];
}

/** Drops all log lines and metrics. */
const observer = { log() {}, count() {} };

async function countCalls(count: number, seed: number): Promise<Counts> {
  const clock = createManualClock();
  const store = createMemoryStore({ clock, timer: clock });
  const entries: Entry[] = [];
  const records: Records[] = [];
  for (let index = 0; index < count; index++) {
    const id = `e${index}`;
    const random = createRandom(seed + index);
    const started = await startEntry({
      settings: {
        id,
        failureDomain: "d1",
        host: "127.0.0.1",
        port: 0,
        httpPort: 0,
        advertise: "127.0.0.1",
        connections: 64,
        bodyLimit: 65_536,
        operators: [],
      },
      openRecords: (fields) => {
        const opened = openRecords({ ...fields, id, store, clock, random });
        records.push(opened);
        return opened;
      },
      clock,
      timer: clock,
      random,
      observer,
    });
    entries.push(started._unsafeUnwrap());
  }
  const submit = async (version: number) => {
    const configuration = {
      ...createConfiguration({ teams: 2, workers: 11 }),
      version,
    };
    const submission = records[0]!.submitConfiguration({
      configuration,
      actor: "operator",
      submitted: clock.date().toISOString(),
    });
    await clock.run(CHANGE_TIME);
    (await submission)._unsafeUnwrap();
  };
  await submit(1);
  await clock.run(START_TIME);
  store.calls.length = 0;
  await clock.run(STEADY_TIME);
  const steady = rateOfCalls(store, STEADY_TIME / SECOND);
  store.calls.length = 0;
  await submit(2);
  const changed = rateOfCalls(store, 1);
  const usual = CHANGE_TIME / SECOND;
  for (const entry of entries) entry.stop();
  await clock.run(START_TIME);
  await Promise.all(entries.map((entry) => entry.ended));
  store.stop();
  return {
    steady,
    change: {
      reads: changed.reads - steady.reads * usual,
      writes: changed.writes - steady.writes * usual,
    },
  };
}

function openRecords(fields: {
  id: string;
  incarnation: number;
  address: string;
  httpAddress: string;
  store: MemoryStore;
  clock: ReturnType<typeof createManualClock>;
  random: () => number;
}): Records {
  return createGuardedRecords({
    ...fields,
    closeStore: () => Promise.resolve(),
    prefix: PREFIX,
    timer: fields.clock,
    observer,
  });
}

/** Recorded calls to the store, a second. */
function rateOfCalls(store: MemoryStore, seconds: number): Calls {
  const reads =
    store.calls.filter(({ kind }) =>
      kind === "get" || kind === "list" || kind === "watch"
    ).length;
  const writes = store.calls.length - reads;
  return { reads: reads / seconds, writes: writes / seconds };
}

/** Writes of keyed requests one by one, so that no two share a write. */
async function countClaims(count: number, seed: number): Promise<number> {
  const clock = createManualClock();
  const store = createMemoryStore({ clock, timer: clock });
  const records = openRecords({
    id: "e0",
    incarnation: 1,
    address: "",
    httpAddress: "",
    store,
    clock,
    random: createRandom(seed),
  });
  for (let index = 0; index < count; index++) {
    const claim: Claim = {
      team: "team-000",
      key: `key-${index}`,
      fingerprint: "f".repeat(64),
      request: `r${index}`,
      entry: "e0",
      incarnation: 1,
      created: clock.date().toISOString(),
    };
    const created = records.createClaims([claim]);
    await clock.run(100);
    (await created)._unsafeUnwrap();
    const settled = records.settleClaim({
      ...claim,
      outcome: {
        kind: "done",
        answer: {
          status: 200,
          contentType: "application/json",
          body: new Uint8Array(256),
        },
      },
    });
    await clock.run(100);
    (await settled)._unsafeUnwrap();
  }
  const writes = store.calls.filter(({ kind }) => kind === "write").length;
  store.stop();
  return writes;
}
