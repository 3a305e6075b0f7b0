import { test } from "tap";
import fc from "fast-check";
import { type AuditRecord, createRandom } from "@dragonflyledge/model";
import { createManualClock, createMemoryStore } from "@dragonflyledge/fakes";
import { createAuditTrail } from "./audit_trail.ts";
import { followAudit } from "./follow_audit.ts";
import { readAudit } from "./read_audit.ts";
import type { AuditFilter, AuditLine } from "./segment.ts";

const prefix = "/dragonflyledge/";

const newRecord = (fields: Partial<AuditRecord> = {}): AuditRecord => ({
  kind: "home",
  team: "fry floor",
  worker: "w1",
  job: "j1",
  reason: "configuration 2",
  actor: "op1",
  detail: {},
  ...fields,
});

/**
 * Returns a store in memory, a function that opens the trail of an entry, and
 * functions that return the stored records and the write calls.
 */
function createFixture() {
  const clock = createManualClock();
  const store = createMemoryStore({ clock, timer: clock });
  let starts = 0;
  const open = (entry: string, limits = {}) => {
    const random = createRandom(++starts);
    const base = { store, prefix, entry, clock, timer: clock, random };
    return createAuditTrail({ ...base, ...limits });
  };
  const read = async (filter: AuditFilter = {}) =>
    (await readAudit({ store, prefix, filter }))._unsafeUnwrap();
  const writes = () => store.calls.filter((call) => call.kind === "write");
  return { clock, store, open, read, writes };
}

const reasons = (lines: AuditLine[]) => lines.map((line) => line.reason);

// Guards against a store call for each record, and against records that wait
// long before they are stored.
test("records are stored after a second or in batches of a hundred", async (t) => {
  const { clock, open, read, writes } = createFixture();
  const trail = open("e1");
  for (let n = 0; n < 50; n++) trail.record(newRecord());
  await clock.run(999);
  t.equal(writes().length, 0);
  await clock.run(1);
  t.equal(writes().length, 1);
  for (let n = 0; n < 100; n++) trail.record(newRecord());
  await clock.run(0);
  t.equal(writes().length, 2);
  t.equal((await read()).length, 150);
  t.same(trail.counts(), { waiting: 0, stored: 150, dropped: 0 });
  await trail.stop();
  t.equal(clock.pending(), 0);
});

// Guards against a trail that grows without limit or loses its latest segment.
test("segments end at 64 KiB, and the oldest are removed", async (t) => {
  const { clock, store, open, read } = createFixture();
  const trail = open("e1", { segmentLimit: 3 });
  for (let n = 0; n < 400; n++) {
    trail.record(newRecord({ reason: `${n} ${"x".repeat(1000)}` }));
    await clock.run(100);
  }
  await trail.stop();
  const items = (await store.list(prefix))._unsafeUnwrap();
  t.equal(items.length, 3);
  t.ok(items.every((item) => item.value.length < 65 * 1024));
  const kept = (await read()).map((line) => Number.parseInt(line.reason));
  t.equal(kept.at(-1), 399);
  t.same(kept, kept.map((_, index) => 400 - kept.length + index));
});

// Guards against records that are lost or stored twice because the store is
// unreachable or its answers are lost.
test("records survive an outage, and the dropped ones are counted", async (t) => {
  const { clock, store, open, read } = createFixture();
  const trail = open("e1", { bufferLimit: 20 });
  store.faults.down = true;
  for (let n = 0; n < 30; n++) trail.record(newRecord({ reason: String(n) }));
  await clock.run(20_000);
  t.same(trail.counts(), { waiting: 19, stored: 0, dropped: 11 });
  t.ok(store.calls.length < 60, `${store.calls.length} calls`);
  store.faults.down = false;
  await clock.run(15_000);
  const lines = await read();
  t.same(
    reasons(lines.slice(0, 19)),
    Array.from({ length: 19 }, (_, n) => `${n}`),
  );
  t.match(lines[19], { kind: "audit-dropped", detail: { dropped: 11 } });
  t.equal(lines.length, 20);
});

// Guards against a trail that is lost with the process that wrote it, and
// against a restarted entry that overwrites its earlier records.
test("records outlive their process", async (t) => {
  const { clock, open, read } = createFixture();
  open("e1").record(newRecord({ reason: "first" }));
  await clock.run(1000);
  open("e1").record(newRecord({ reason: "second" }));
  open("e1").record(newRecord({ reason: "third" }));
  await clock.run(1000);
  t.same(reasons(await read()).sort(), ["first", "second", "third"]);
});

// Guards against filters that hide matching records or return others.
test("records are read by team, worker, kind and time", async (t) => {
  const { clock, open, read } = createFixture();
  const trails = [open("e1"), open("e2")];
  const begin = clock.date();
  trails[0]!.record(newRecord({ reason: "a", team: "lab" }));
  await clock.run(5000);
  const middle = clock.date();
  trails[1]!.record(newRecord({ reason: "b", worker: "w2" }));
  await clock.run(5000);
  trails[0]!.record(newRecord({ reason: "c", kind: "reclaim" }));
  await clock.run(5000);
  t.same(reasons(await read()), ["a", "b", "c"]);
  t.same(reasons(await read({ team: "lab" })), ["a"]);
  t.same(reasons(await read({ worker: "w2" })), ["b"]);
  t.same(reasons(await read({ kind: "reclaim" })), ["c"]);
  t.same(reasons(await read({ from: middle })), ["b", "c"]);
  t.same(reasons(await read({ from: begin, to: middle })), ["a", "b"]);
  t.same(reasons(await read({ team: "none" })), []);
});

// Guards against a follower that misses, repeats or reorders records.
test("a follower gets each new record once", async (t) => {
  const { clock, store, open } = createFixture();
  const trail = open("e1");
  trail.record(newRecord({ reason: "before" }));
  await clock.run(1000);
  const seen: string[] = [];
  const follower = followAudit({
    store,
    prefix,
    filter: { kind: "home" },
    timer: clock,
    random: createRandom(1),
    onLines: (lines) => seen.push(...reasons(lines)),
  });
  await clock.run(0);
  for (const reason of ["1", "2"]) {
    trail.record(newRecord({ reason }));
    trail.record(newRecord({ kind: "other", reason: "hidden" }));
    await clock.run(1000);
  }
  store.endWatches();
  open("e2").record(newRecord({ reason: "3" }));
  await clock.run(2000);
  t.same(seen, ["1", "2", "3"]);
  follower.stop();
});

// Guards against sequences of store faults after which records are missing or
// stored twice.
test("each record is stored once despite random faults", async (t) => {
  const seed = 45;
  t.comment(`seed ${seed}`);
  const steps = fc.array(
    fc.record({
      down: fc.boolean(),
      delay: fc.constantFrom(0, 0, 200, 6000),
      lost: fc.integer({ min: 0, max: 8 }),
      records: fc.integer({ min: 0, max: 150 }),
      wait: fc.integer({ min: 1, max: 8000 }),
    }),
    { minLength: 1, maxLength: 12 },
  );
  await fc.assert(
    fc.asyncProperty(steps, async (faults) => {
      const { clock, store, open, read } = createFixture();
      const trail = open("e1");
      let count = 0;
      for (const { down, delay, lost, records, wait } of faults) {
        Object.assign(store.faults, { down, delay, lostAnswers: lost });
        for (let n = 0; n < records; n++) {
          trail.record(newRecord({ reason: String(count++) }));
        }
        await clock.run(wait);
      }
      const calm = { down: false, delay: 0, lostAnswers: 0 };
      Object.assign(store.faults, calm);
      await clock.run(60_000);
      const found = reasons(await read());
      if (found.join() !== Array.from({ length: count }, (_, n) => n).join()) {
        throw new Error(`${found.length} of ${count} records`);
      }
    }),
    { seed, numRuns: 40 },
  );
});
