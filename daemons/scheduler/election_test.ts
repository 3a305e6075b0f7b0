import { PassThrough } from "node:stream";
import { err, ok } from "neverthrow";
import { test } from "tap";
import { createManualClock } from "@dragonflyledge/fakes";
import { createLog, Part } from "@dragonflyledge/log";
import type { Milliseconds } from "@dragonflyledge/model";
import type { KeyValue } from "@dragonflyledge/platform";
import { LEADER_KEY } from "@dragonflyledge/scheduler";
import { startElection } from "./election.ts";

/** Time of one call to the store and back. */
const ROUND_TRIP: Milliseconds = 8;
/** Time after which a call without an answer fails. */
const CALL_TIMEOUT: Milliseconds = 700;

/** A store of one key, whose lease ends unless it is renewed in time. */
function createLeaderStore(clock: ReturnType<typeof createManualClock>) {
  let nextId = 1;
  let holder: { revision: number; lease: number } | undefined;
  const leases = new Map<number, { ttl: Milliseconds; end: Milliseconds }>();
  const watchers = new Set<() => void>();
  const lost = { answers: 0 };

  const current = () => {
    if (holder && (leases.get(holder.lease)?.end ?? 0) <= clock.now()) {
      holder = undefined;
      for (const notify of watchers) notify();
    }
    return holder;
  };
  const sleep = (delay: Milliseconds) =>
    new Promise<void>((resolve) => void clock.after(delay, resolve));

  /** Carries out a call; its answer may be lost. */
  async function call<T, F>(carryOut: () => T, failure: F): Promise<T | F> {
    await sleep(ROUND_TRIP / 2);
    current();
    const result = carryOut();
    if (lost.answers > 0) {
      lost.answers--;
      await sleep(CALL_TIMEOUT);
      return failure;
    }
    await sleep(ROUND_TRIP / 2);
    return result;
  }

  const unknown = { kind: "unknown", reason: "no answer" } as const;
  const store = {
    grant: (ttl: Milliseconds) =>
      call(() => {
        leases.set(nextId, { ttl, end: clock.now() + ttl });
        return ok(nextId++);
      }, err(unknown)),
    renew: (id: number) =>
      call(() => {
        const lease = leases.get(id);
        if (!lease || lease.end <= clock.now()) return ok(false);
        lease.end = clock.now() + lease.ttl;
        return ok(true);
      }, err(unknown)),
    release: (id: number) =>
      call(() => {
        leases.delete(id);
        current();
        return ok(undefined);
      }, err(unknown)),
    commit: (commit: Parameters<KeyValue["commit"]>[0]) =>
      call(() => {
        const { key, lease } = commit.puts[0]!;
        if (key !== LEADER_KEY || current()) {
          return { kind: "conflict", items: new Map() };
        }
        holder = { revision: nextId++, lease: lease! };
        return { kind: "committed", revision: holder.revision };
      }, unknown),
  } as unknown as KeyValue;
  const poll = () => {
    current();
    clock.after(1, poll);
  };
  poll();
  return { store, lost, leader: current, watchers };
}

/** Starts an election for one process of this name and capacity in cores. */
function joinElection(fields: {
  name: string;
  cores: number;
  clock: ReturnType<typeof createManualClock>;
  platform: ReturnType<typeof createLeaderStore>;
}) {
  const { clock, platform, name, cores } = fields;
  const store = { ...platform.store };
  const history: { at: Milliseconds; kind: "won" | "lost" }[] = [];
  const election = startElection({
    name,
    cores,
    store,
    clock,
    timer: clock,
    shortestLease: 1000,
    isVacant: () => platform.leader() === undefined,
    staleRevision: () => undefined,
    onWon: () => history.push({ at: clock.now(), kind: "won" }),
    onLost: () => history.push({ at: clock.now(), kind: "lost" }),
    log: createLog({
      part: Part.Entry,
      level: "error",
      stream: new PassThrough(),
    }),
  });
  platform.watchers.add(() => election.noteVacancy());
  return { election, history, store };
}

// Guards against urgent work that waits for seconds after a leader has died.
test("a leader that dies is succeeded within 1.4 s", async (t) => {
  for (let diesAt = 3000; diesAt < 3500; diesAt += 50) {
    const clock = createManualClock();
    const platform = createLeaderStore(clock);
    const first = joinElection({ name: "a", cores: 1, clock, platform });
    await clock.run(diesAt);
    t.ok(first.election.leads());
    // None of its calls reaches the store any more.
    first.store.renew = () => new Promise(() => {});
    first.store.grant = () => new Promise(() => {});
    const second = joinElection({ name: "b", cores: 1, clock, platform });
    await clock.run(2500);
    const wonAt = second.history[0]?.at ?? Infinity;
    t.ok(wonAt - diesAt <= 1400, `succeeded after ${wonAt - diesAt} ms`);
    t.notOk(first.election.leads(), "the first does not lead beside it");
  }
});

// Guards against a change of leader for each answer of the store that is lost.
test("a leader keeps its lease while single answers are lost", async (t) => {
  const clock = createManualClock();
  const platform = createLeaderStore(clock);
  const { history, election } = joinElection({
    name: "a",
    cores: 1,
    clock,
    platform,
  });
  await clock.run(1000);
  for (let round = 0; round < 10; round++) {
    platform.lost.answers = 2;
    await clock.run(1500);
    t.ok(election.leads());
  }
  t.same(history.map((each) => each.kind), ["won"]);
});

// Guards against a slow machine that leads, and plans late, beside fast ones.
test("the machine with the most cores is elected", async (t) => {
  const clock = createManualClock();
  const platform = createLeaderStore(clock);
  const slow = joinElection({ name: "a", cores: 0.3, clock, platform });
  const fast = joinElection({ name: "b", cores: 1.3, clock, platform });
  await clock.run(2000);
  t.ok(fast.election.leads());
  t.notOk(slow.election.leads());
});

// Guards against a process that acts on leadership after a pause in which its
// lease has ended.
test("a process that was paused beyond its lease does not lead", async (t) => {
  const clock = createManualClock();
  const platform = createLeaderStore(clock);
  const { election } = joinElection({ name: "a", cores: 1, clock, platform });
  await clock.run(1000);
  t.ok(election.leads());
  // Time passes and no timer is called, as in a suspended process.
  let passed = 0;
  const { now } = clock;
  clock.now = () => now() + passed;
  passed = 5000;
  t.notOk(election.leads());
});

// Guards against a leader that steps down, or that trusts a lease for too long,
// because of the answer to a renewal of its former term.
test("the answer to a former term's renewal changes nothing", async (t) => {
  const clock = createManualClock();
  const platform = createLeaderStore(clock);
  const late: ((renewed: boolean) => void)[] = [];
  const { renew } = platform.store;
  platform.store.renew = (lease) =>
    lease === 1
      ? new Promise((resolve) => late.push((renewed) => resolve(ok(renewed))))
      : renew(lease);
  const { election, history } = joinElection({
    name: "a",
    cores: 1,
    clock,
    platform,
  });
  await clock.run(5000);
  t.match(history.slice(0, 3), [
    { kind: "won" },
    { kind: "lost" },
    { kind: "won" },
  ]);
  t.ok(late.length > 0);
  for (const answer of late) answer(false);
  await clock.run(10);
  t.equal(history.length, 3);
  t.ok(election.leads());
});
