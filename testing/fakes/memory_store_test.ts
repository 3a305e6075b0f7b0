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

// Guards against a lapse that is only noticed by the next call.
test("a lease lapses with the clock, and watches are told", async (t) => {
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

// Guards against a stale read that equals the present state.
test("a stale read shows the state before the last change", async (t) => {
  const clock = createManualClock();
  const store = createMemoryStore({ clock, timer: clock });
  await store.write([{ key: "/a", value: "1", revision: 0 }]);
  await store.write([{ key: "/a", value: "2", revision: 2 }]);
  store.faults.staleReads = 1;
  const stale = (await store.getAt("/a"))._unsafeUnwrap();
  t.same(stale, { item: { key: "/a", value: "1", revision: 2 }, at: 2 });
  t.equal((await store.get("/a"))._unsafeUnwrap()?.value, "2");
});

// Guards against a slow store that answers at once.
test("a slow store answers after its delay", async (t) => {
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
