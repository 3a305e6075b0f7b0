import { test } from "tap";
import { createManualClock } from "./manual_clock.ts";
import { createMemoryStore } from "./memory_store.ts";
import { storeContract } from "./store_contract.ts";

for (const [name, run] of Object.entries(storeContract)) {
  test(`memory store: ${name}`, async (t) => {
    const clock = createManualClock();
    const memory = createMemoryStore({ clock, timer: clock });
    await run(t, { store: memory, memory });
    memory.stop();
    t.equal(clock.pending(), 0);
  });
}

// Guards against a lapsed lease whose watches are notified only at the next
// call.
test("a lease lapses by the clock, and watches are notified", async (t) => {
  const clock = createManualClock();
  const store = createMemoryStore({ clock, timer: clock });
  const lease = (await store.grantLease(6000))._unsafeUnwrap();
  await store.write([{ key: "/a", value: "1", revision: 0, lease }]);
  const gone: string[] = [];
  store.watch({
    prefix: "/",
    onChange: (changes) => gone.push(...changes.map((c) => c.key)),
    onEnd: () => {},
  });
  await clock.run(5000);
  await store.renewLease(lease);
  await clock.run(5999);
  t.same(gone, []);
  await clock.run(1);
  t.same(gone, ["/a"]);
});

// Guards against a stale read that returns the current state.
test("a stale read returns the state before the last change", async (t) => {
  const clock = createManualClock();
  const store = createMemoryStore({ clock, timer: clock });
  await store.write([{ key: "/a", value: "1", revision: 0 }]);
  await store.write([{ key: "/a", value: "2", revision: 2 }]);
  store.faults.staleReads = 1;
  const stale = (await store.getAt("/a"))._unsafeUnwrap();
  t.same(stale, { item: { key: "/a", value: "1", revision: 2 }, at: 2 });
  t.equal((await store.get("/a"))._unsafeUnwrap()?.value, "2");
});

// Guards against a delay that has no effect.
test("a store with a delay answers after this delay", async (t) => {
  const clock = createManualClock();
  const store = createMemoryStore({ clock, timer: clock });
  store.faults.delay = 500;
  let answered = false;
  store.get("/a").then(() => answered = true);
  await clock.run(499);
  t.equal(answered, false);
  await clock.run(1);
  t.equal(answered, true);
});
