import { test } from "tap";
import fc from "fast-check";
import { createRandom } from "@dragonflyledge/model";
import { createManualClock, createMemoryStore } from "@dragonflyledge/fakes";
import { followPrefix } from "./follow_prefix.ts";
import { createPresence } from "./presence.ts";
import type { Change } from "./store.ts";

const prefix = "/dragonflyledge/";

function start() {
  const clock = createManualClock();
  const store = createMemoryStore({ clock, timer: clock });
  const lapses: number[] = [];
  const enter = (id: string, incarnation = 1) =>
    createPresence({
      store,
      prefix,
      entry: { id, incarnation, address: "127.0.0.1:1", httpAddress: "h:2" },
      clock,
      timer: clock,
      random: createRandom(1),
      onLapse: () => lapses.push(clock.now()),
    });
  const keys = async () =>
    (await store.list(prefix))._unsafeUnwrap().map((item) => item.key);
  return { clock, store, lapses, enter, keys };
}

const idsOf = (presence: ReturnType<typeof createPresence>) =>
  presence.entries().map((entry) => entry.id).sort();

// Guards against entries that do not find each other, or that stay listed after
// they have left.
test("live entries see each other, and a leaving one is removed at once", async (t) => {
  const { clock, enter, keys } = start();
  const [one, two] = [enter("e1"), enter("e2")];
  await clock.run(1000);
  t.same(idsOf(one), ["e1", "e2"]);
  t.same(idsOf(two), ["e1", "e2"]);
  await two.leave();
  await clock.run(0);
  t.same(idsOf(one), ["e1"]);
  t.equal(two.isValid(), false);
  t.same(await keys(), [`${prefix}entries/e1`]);
  await one.leave();
});

// Guards against a lease that the entry regards as valid for longer than the
// store does. Validity counts from the time the renewal was sent, not answered.
test("validity counts from the sending of a renewal", async (t) => {
  const { clock, store, enter } = start();
  store.faults.delay = 500;
  const presence = enter("e1");
  await clock.run(499);
  t.equal(presence.isValid(), false);
  await clock.run(1001);
  t.equal(presence.validUntil(), 6000);
  store.faults.delay = 0;
  await presence.leave();
});

// Guards against an entry that acts on its lease after a pause longer than the
// lease. Its timers had no chance to run, so it must check the clock.
test("after a long pause an entry is not valid, and registers again", async (t) => {
  const { clock, store, keys } = start();
  let pause = 0;
  const lapses: number[] = [];
  const presence = createPresence({
    store,
    prefix,
    entry: { id: "e1", incarnation: 1, address: "a", httpAddress: "h" },
    clock: {
      now: () => clock.now() + pause,
      date: () => new Date(clock.date().getTime() + pause),
    },
    timer: clock,
    random: createRandom(1),
    onLapse: () => lapses.push(clock.now()),
  });
  await clock.run(5000);
  t.equal(presence.isValid(), true);
  pause = 6000;
  t.equal(presence.isValid(), false);
  store.lapse("7587000000000000001");
  await clock.run(2000);
  t.equal(lapses.length, 1);
  t.equal(presence.isValid(), true);
  t.same(await keys(), [`${prefix}entries/e1`]);
});

// Guards against an entry that acts on an expired lease after its VM was
// suspended, because the monotonic clock stood still meanwhile.
test("a jump of the wall clock ends the validity", async (t) => {
  const { clock, store } = start();
  let ahead = 0;
  const date = () => new Date(clock.date().getTime() + ahead);
  const presence = createPresence({
    store,
    prefix,
    entry: { id: "e1", incarnation: 1, address: "a", httpAddress: "h" },
    clock: { now: clock.now, date },
    timer: clock,
    random: createRandom(1),
  });
  await clock.run(1000);
  t.equal(presence.isValid(), true);
  ahead = 60_000;
  t.equal(presence.isValid(), false);
});

// Guards against an entry that stays unregistered after an outage of the store.
test("a lease that lapsed during an outage is replaced", async (t) => {
  const { clock, store, lapses, enter, keys } = start();
  const presence = enter("e1");
  await clock.run(3000);
  store.faults.down = true;
  await clock.run(10_000);
  t.equal(presence.isValid(), false);
  t.same(lapses.length, 1);
  t.same(idsOf(presence), ["e1"]);
  store.faults.down = false;
  await clock.run(6000);
  t.equal(presence.isValid(), true);
  t.same(idsOf(presence), ["e1"]);
  t.same(await keys(), [`${prefix}entries/e1`]);
});

// Guards against a key of an earlier start of the entry that blocks its new
// one.
test("a new start replaces the key of the earlier one", async (t) => {
  const { clock, store, enter } = start();
  enter("e1", 1);
  await clock.run(100);
  const presence = enter("e1", 2);
  await clock.run(100);
  t.equal(presence.isValid(), true);
  const [item] = (await store.list(prefix))._unsafeUnwrap();
  t.equal(JSON.parse(item!.value).incarnation, 2);
});

// Guards against an entry that regards itself as valid after the store has
// deleted its lease and key.
test("a valid entry always has its key in the store", async (t) => {
  const seed = 44;
  t.comment(`seed ${seed}`);
  const steps = fc.array(
    fc.record({
      down: fc.boolean(),
      delay: fc.constantFrom(0, 0, 300, 4000),
      lost: fc.integer({ min: 0, max: 2 }),
      wait: fc.integer({ min: 1, max: 4000 }),
    }),
    { minLength: 1, maxLength: 20 },
  );
  await fc.assert(
    fc.asyncProperty(steps, async (faults) => {
      const { clock, store, enter } = start();
      const presence = enter("e1");
      const key = `${prefix}entries/e1`;
      for (const { down, delay, lost, wait } of faults) {
        Object.assign(store.faults, { down, delay, lostAnswers: lost });
        for (let passed = 0; passed < wait; passed += 100) {
          await clock.run(100);
          if (presence.isValid() && !store.model.get(key)) {
            throw new Error(`valid without a lease at ${clock.now()} ms`);
          }
        }
      }
      const calm = { down: false, delay: 0, lostAnswers: 0 };
      Object.assign(store.faults, calm);
      await clock.run(15_000);
      if (!presence.isValid()) throw new Error("not registered again");
    }),
    { seed, numRuns: 40 },
  );
});

function follow(store: ReturnType<typeof start>["store"], clock: unknown) {
  const changes: Change[] = [];
  const following = followPrefix({
    store,
    prefix: "/f/",
    timer: clock as ReturnType<typeof start>["clock"],
    random: createRandom(1),
    onChange: (seen) => changes.push(...seen),
  });
  const values = () =>
    [...following.items().values()].map((item) => item.key + item.value);
  return { changes, following, values };
}

// Guards against changes that are missed while the watch is down.
test("the copy is updated again after its watch ended", async (t) => {
  const { clock, store } = start();
  await store.write([{ key: "/f/a", value: "1", revision: 0 }]);
  await store.write([{ key: "/f/b", value: "1", revision: 0 }]);
  const { following, values, changes } = follow(store, clock);
  await clock.run(0);
  t.same(values(), ["/f/a1", "/f/b1"]);
  store.endWatches();
  await store.write([{ key: "/f/a", value: "2", revision: 2 }]);
  await store.write([{ key: "/f/b", value: undefined, revision: 3 }]);
  t.same(values(), ["/f/a1", "/f/b1"]);
  await clock.run(500);
  t.same(values(), ["/f/a2"]);
  t.equal(changes.length, 4);
  following.stop();
  t.equal(clock.pending(), 0);
});

// Guards against a copy that returns to an older state.
test("a listing older than the copy is ignored", async (t) => {
  const { clock, store } = start();
  const { values, changes } = follow(store, clock);
  await clock.run(0);
  await store.write([{ key: "/f/a", value: "1", revision: 0 }]);
  await store.write([{ key: "/f/a", value: "2", revision: 2 }]);
  t.same(values(), ["/f/a2"]);
  store.endWatches();
  store.faults.staleReads = 1;
  await clock.run(250);
  t.equal(store.faults.staleReads, 0);
  t.same(values(), ["/f/a2"]);
  await clock.run(1000);
  t.same(values(), ["/f/a2"]);
  t.same(changes.map((change) => change.value), ["1", "2"]);
});

// Guards against processes that all call the store at the same moment after an
// outage, and against calls without a delay while it is down.
test("retries back off with jitter during an outage", async (t) => {
  const { clock, store } = start();
  const followings = Array.from({ length: 20 }, (_, seed) =>
    followPrefix({
      store,
      prefix: "/f/",
      timer: clock,
      random: createRandom(seed),
    }));
  await clock.run(0);
  store.faults.down = true;
  const before = store.calls.length;
  await clock.run(60_000);
  const calls = store.calls.length - before;
  t.ok(calls < 20 * 25, `${calls} calls`);
  store.faults.down = false;
  const back = store.calls.length;
  await clock.run(5000);
  t.ok(followings.every((following) => following.ready()));
  const times = store.calls.slice(back).map((call) => call.at);
  t.ok(new Set(times).size > 15);
  followings.forEach((following) => following.stop());
});
