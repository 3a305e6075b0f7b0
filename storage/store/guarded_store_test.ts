import { test } from "tap";
import fc from "fast-check";
import { createRandom } from "@dragonflyledge/model";
import { createManualClock, createMemoryStore } from "@dragonflyledge/fakes";
import { createBreaker } from "./breaker.ts";
import { createCallBudget } from "./call_budget.ts";
import { type Budget, createGuardedStore } from "./guarded_store.ts";

const unlimited: Budget = {
  readsPerSecond: 1e6,
  writesPerSecond: 1e6,
  maxWait: 500,
};

function start(budget: Budget = unlimited, seed = 1) {
  const clock = createManualClock();
  const memory = createMemoryStore({ clock, timer: clock });
  const random = createRandom(seed);
  const store = createGuardedStore({
    store: memory,
    clock,
    timer: clock,
    random,
    budget,
  });
  return { clock, memory, store };
}

/** Advances the virtual clock until the call has ended. */
async function finish<T>(
  clock: ReturnType<typeof createManualClock>,
  call: Promise<T>,
): Promise<T> {
  let done = false;
  call.finally(() => done = true);
  while (!done) await clock.run(10);
  return call;
}

// Guards against calls to a failing store that never stop, and against a
// breaker that never closes again.
test("the breaker opens, probes and closes", async (t) => {
  const { clock, memory, store } = start();
  memory.faults.down = true;
  for (let call = 0; call < 20; call++) await store.get(`/${call}`);
  t.equal(memory.calls.length, 5);
  t.equal(store.breakerState(), "open");
  t.equal(store.counters.refused, 15);
  const refusal = (await store.get("/a"))._unsafeUnwrapErr();
  t.equal(refusal.code, "DFL_STORE_UNAVAILABLE");
  await clock.run(500);
  const probes = await Promise.all([store.get("/b"), store.get("/c")]);
  t.equal(probes.filter((p) => p.isErr()).length, 2);
  t.equal(memory.calls.length, 6);
  memory.faults.down = false;
  await clock.run(1000);
  t.equal((await store.get("/b")).isOk(), true);
  t.equal(store.breakerState(), "closed");
});

// Guards against processes that all probe the store at the same moments.
test("probes are jittered and come less often while they fail", (t) => {
  const times = [1, 2].map((seed) => {
    const clock = createManualClock();
    const breaker = createBreaker({ clock, random: createRandom(seed) });
    const probes: number[] = [];
    for (let call = 0; call < 5; call++) breaker.fail();
    for (; clock.now() < 20_000; clock.advance(1)) {
      if (!breaker.admit()) continue;
      probes.push(clock.now());
      breaker.fail();
    }
    return probes;
  });
  t.notSame(times[0], times[1]);
  for (const probes of times) {
    t.ok(probes[0]! >= 250 && probes[0]! <= 501);
    const gaps = probes.slice(4).map((at, index) => at - probes[index + 3]!);
    t.ok(gaps.every((gap) => gap >= 2000 && gap <= 4001));
  }
  t.end();
});

// Guards against a burst of calls right after an outage.
test("calls are spread over time after the store recovers", async (t) => {
  const { clock, memory, store } = start();
  memory.faults.down = true;
  for (let call = 0; call < 5; call++) await store.get(`/${call}`);
  memory.faults.down = false;
  await clock.run(500);
  await store.get("/probe");
  const before = memory.calls.length;
  const calls = Array.from({ length: 50 }, (_, n) => store.get(`/${n}`));
  await clock.run(0);
  t.ok(memory.calls.length - before < 5);
  await finish(clock, Promise.all(calls));
  const times = memory.calls.slice(before).map((call) => call.at);
  t.equal(new Set(times).size > 40, true);
  t.ok(Math.max(...times) <= clock.now());
});

// Guards against calls beyond the rate that the platform accepts, against calls
// that wait without limit, and against a lease that expires because its renewal
// waits behind other calls.
test("the budget delays calls, refuses late ones, and does not delay leases", async (t) => {
  const budget = { readsPerSecond: 10, writesPerSecond: 10, maxWait: 500 };
  const { clock, memory, store } = start(budget);
  const lease = (await memory.grantLease(6000))._unsafeUnwrap();
  const callsBefore = memory.calls.length;
  const writes = Array.from(
    { length: 30 },
    (_, n) => store.write([{ key: `/${n}`, value: "", revision: 0 }]),
  );
  const renewal = store.renewLease(lease);
  await clock.run(0);
  t.equal(memory.calls.length - callsBefore, 11);
  t.equal((await renewal).isOk(), true);
  const results = await finish(clock, Promise.all(writes));
  t.equal(results.filter((r) => r.isOk()).length, 15);
  const codes = results.flatMap((r) => r.isErr() ? [r.error.code] : []);
  t.same(new Set(codes), new Set(["DFL_STORE_BUDGET"]));
  t.equal(store.counters.overBudget, 15);
  t.equal(store.breakerState(), "closed");
});

// Guards against a rate above the budget within any second.
test("no second has more calls than the budget", (t) => {
  const seed = 41;
  t.comment(`seed ${seed}`);
  const gaps = fc.array(fc.integer({ min: 0, max: 40 }), { maxLength: 300 });
  fc.assert(
    fc.property(gaps, (waits) => {
      const clock = createManualClock();
      const [perSecond, burst] = [50, 5];
      const budget = createCallBudget({
        clock,
        perSecond,
        burst,
        maxWait: 300,
      });
      const sent: number[] = [];
      for (const wait of waits) {
        clock.advance(wait);
        const delay = budget.take();
        if (delay !== undefined) sent.push(clock.now() + delay);
      }
      sent.forEach((from, first) => {
        const last = sent.findLastIndex((at) => at <= from + 1000);
        if (last - first + 1 > perSecond + burst + 1) throw new Error("rate");
      });
    }),
    { seed, numRuns: 200 },
  );
  t.end();
});

// Guards against one call for each of several equal reads, and against a read
// that shares an answer from before the caller's own write.
test("equal reads share a call, except after a write to the key", async (t) => {
  const { clock, memory, store } = start();
  memory.faults.delay = 10;
  const calls = ["/a", "/a", "/a", "/b"].map((key) => store.get(key));
  await finish(clock, Promise.all(calls));
  t.equal(memory.calls.length, 2);
  t.equal(store.counters.coalesced, 2);
  const early = store.get("/a");
  const write = store.write([{ key: "/a", value: "1", revision: 0 }]);
  memory.faults.delay = 0;
  await clock.run(10);
  await write;
  const late = await finish(clock, store.get("/a"));
  t.equal(late._unsafeUnwrap()?.value, "1");
  await early;
});

// Guards against an older answer that undoes a state which the process has
// already acted on.
test("stale answers are refused", async (t) => {
  const { memory, store } = start();
  await store.write([{ key: "/a", value: "1", revision: 0 }]);
  await store.write([{ key: "/a", value: "2", revision: 2 }]);
  for (const hideStaleness of [false, true]) {
    memory.faults.hideStaleness = hideStaleness;
    memory.faults.staleReads = 2;
    const read = await store.get("/a");
    t.equal(read._unsafeUnwrapErr().code, "DFL_STORE_ANSWER");
    const listed = await store.list("/");
    t.equal(listed._unsafeUnwrapErr().code, "DFL_STORE_ANSWER");
  }
  t.equal(store.counters.stale, 4);
  t.equal((await store.get("/a"))._unsafeUnwrap()?.value, "2");
  await store.write([{ key: "/b", value: "1", revision: 0 }]);
  memory.faults.hideStaleness = false;
  memory.faults.staleReads = 1;
  const absent = await store.get("/b");
  t.equal(absent._unsafeUnwrapErr().code, "DFL_STORE_ANSWER");
  t.equal(store.breakerState(), "closed");
});

// Guards against a deleted key that the guard reports as a stale answer.
test("a deleted key reads as absent", async (t) => {
  const { memory, store } = start();
  await store.write([{ key: "/a", value: "1", revision: 0 }]);
  await memory.write([{ key: "/a", value: undefined, revision: 2 }]);
  t.equal((await store.get("/a"))._unsafeUnwrap(), undefined);
});

// Guards against a call that never ends, and against a probe without an end
// that keeps the breaker half-open.
test("each call has a deadline", async (t) => {
  const { clock, memory, store } = start();
  memory.faults.delay = 60_000;
  const call = store.get("/a");
  await clock.run(3000);
  t.equal((await call)._unsafeUnwrapErr().code, "DFL_STORE_UNAVAILABLE");
});

// Guards against a watch that is not counted, or that is still counted after
// its end.
test("a watch waiting for changes counts as one call", async (t) => {
  const { clock, memory, store } = start();
  const fields = { prefix: "/", onChange: () => {}, onEnd: () => {} };
  const first = store.watch(fields);
  store.watch(fields);
  store.watch(fields).stop();
  await clock.run(0);
  t.equal(store.counters.watch, 2);
  t.equal(store.counters.watching, 2);
  first.stop();
  t.equal(store.counters.watching, 1);
  memory.endWatches();
  t.equal(store.counters.watching, 0);
});

// Guards against calls that never end, and a breaker that stays open, after
// random faults.
test("after random faults every call ends and the store recovers", async (t) => {
  const seed = 42;
  t.comment(`seed ${seed}`);
  const steps = fc.array(
    fc.record({
      down: fc.boolean(),
      delay: fc.constantFrom(0, 50, 5000),
      lost: fc.integer({ min: 0, max: 2 }),
      wait: fc.integer({ min: 0, max: 900 }),
    }),
    { minLength: 1, maxLength: 25 },
  );
  await fc.assert(
    fc.asyncProperty(steps, async (faults) => {
      const { clock, memory, store } = start(unlimited, seed);
      const calls: Promise<unknown>[] = [];
      for (const [index, { down, delay, lost, wait }] of faults.entries()) {
        Object.assign(memory.faults, { down, delay, lostAnswers: lost });
        calls.push(store.get("/a"), store.grantLease(6000));
        const key = `/${index}`;
        calls.push(store.write([{ key, value: "", revision: 0 }]));
        await clock.run(wait);
      }
      const calm = { down: false, delay: 0, lostAnswers: 0 };
      Object.assign(memory.faults, calm);
      await clock.run(10_000);
      await Promise.all(calls);
      await finish(clock, store.get("/a"));
      const read = await finish(clock, store.get("/a"));
      if (read.isErr() || store.breakerState() !== "closed") {
        throw new Error("the guarded store did not recover");
      }
    }),
    { seed, numRuns: 40 },
  );
});
