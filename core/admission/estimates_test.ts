import { test } from "tap";
import {
  createRandom,
  RETRY_RATIO,
  RETRY_RESERVE,
} from "@dragonflyledge/model";
import { createRetryBudget } from "./retry_budget.ts";
import { createRunTimeEstimates } from "./run_time_estimates.ts";
import { slotLimit } from "./slot_limit.ts";
import { createWaitEstimate } from "./wait_estimate.ts";

const key = (team: string, name = "c") => ({ service: "s", team, class: name });

// Guards against one slow run that makes all work seem long.
test("a slow run does not move the estimate, and old samples expire", (t) => {
  const estimates = createRunTimeEstimates();
  for (let n = 0; n < 20; n++) estimates.observe(key("a"), 100, n);
  estimates.observe(key("a"), 1_000_000, 20);
  const estimate = estimates.estimate(key("a"), 21)!;
  t.equal(estimate.median, 100);
  t.equal(estimate.upper, 100);
  t.equal(estimates.estimate(key("new"), 21)?.median, 100, "by class");
  t.equal(estimates.estimate(key("new", "d"), 21)?.median, 100, "by service");
  t.equal(estimates.estimate(key("a"), 400_000), undefined);
  t.end();
});

// Guards against long work that gets the slots of a class of short work.
test("work far longer than its class is long until it is short again", (t) => {
  const estimates = createRunTimeEstimates();
  const observe = (team: string, runTime: number, count: number) => {
    for (let n = 0; n < count; n++) estimates.observe(key(team), runTime, n);
  };
  observe("a", 100, 10);
  observe("b", 900, 7);
  t.notOk(estimates.isLong(key("b"), 10), "too few samples");
  observe("b", 900, 10);
  t.ok(estimates.isLong(key("b"), 600));
  t.notOk(estimates.isLong(key("a"), 600));
  observe("b", 500, 64);
  t.ok(estimates.isLong(key("b"), 1200), "does not alternate");
  observe("b", 200, 64);
  t.notOk(estimates.isLong(key("b"), 1800));
  t.end();
});

// Guards against a class that counts as long because other classes are short.
test("work is compared with its own class only", (t) => {
  const estimates = createRunTimeEstimates();
  for (let n = 0; n < 10; n++) {
    estimates.observe(key("a", "quick"), 1, n);
    estimates.observe(key("a", "plan"), 500, n);
    estimates.observe(key("b", "plan"), 400, n);
    estimates.observe(key("c", "plan"), 9000, n);
  }
  t.notOk(estimates.isLong(key("a", "plan"), 10));
  t.ok(estimates.isLong(key("c", "plan"), 10));
  t.end();
});

// Guards against deferrable or long work that takes all slots of an endpoint.
test("slot limits of deferrable, long and urgent work", (t) => {
  const limit = (
    urgent: boolean,
    slotShare: number,
    fields: { slots?: number; long?: boolean; peak?: boolean } = {},
  ) => {
    const workClass = {
      name: "c",
      urgent,
      slotShare,
      defaultDeadline: 1,
      queueLimit: 1,
    };
    const all = { slots: 8, long: false, peak: false, ...fields };
    return Object.values(slotLimit({ workClass, ...all }));
  };
  t.same(limit(true, 0.1), [8, 8]);
  t.same(limit(false, 0.6), [4, 8]);
  t.same(limit(false, 0.01), [1, 8]);
  t.same(limit(false, 1, { long: true }), [4, 8]);
  t.same(limit(true, 1, { long: true }), [4, 8]);
  t.same(limit(false, 1, { peak: true }), [8, 3]);
  t.same(limit(false, 1, { peak: true, slots: 1 }), [1, 1]);
  t.end();
});

const estimate = { lower: 90, median: 100, upper: 200, samples: 10 };

// Guards against requests that are refused before anything was observed.
test("without observations nothing is refused", (t) => {
  const wait = createWaitEstimate();
  const fields = { ahead: 500, freeSlots: 0, running: 8, now: 1 };
  const unknown = wait.wait({ ...fields, estimate: undefined });
  t.equal(unknown, undefined);
  const terms = { wait: unknown, estimate: undefined, remaining: 1, now: 1 };
  t.notOk(wait.unreachable(terms));
  t.end();
});

// Guards against requests that are accepted but can only expire, and against
// refusals that go on after the queue has emptied.
test("requests are refused early while the queue is long, and no longer", (t) => {
  const wait = createWaitEstimate();
  for (let now = 0; now < 2000; now += 10) wait.recordFreedSlot(now);
  const terms = { freeSlots: 0, running: 10, estimate, now: 2000 };
  const long = wait.wait({ ...terms, ahead: 1000 })!;
  t.ok(long > 9_000 && long < 11_500, `${long} ms at 100 a second`);
  const late = { wait: long, estimate, remaining: 5000, now: 2000 };
  t.ok(wait.unreachable(late));
  t.notOk(wait.unreachable({ ...late, remaining: 12_000 }));
  const after = wait.wait({ ...terms, ahead: 0, freeSlots: 1, now: 2001 });
  t.equal(after, 0);
  t.notOk(wait.unreachable({ ...late, wait: after, now: 2001 }));
  t.end();
});

// Guards against outdated run times that cause refusals until they expire.
test("one request a second that seems too long is accepted", (t) => {
  const wait = createWaitEstimate();
  const late = (now: number) =>
    wait.unreachable({ wait: 0, estimate, remaining: 50, now });
  t.same([late(0), late(1), late(999), late(1000)], [false, true, true, false]);
  t.end();
});

// Guards against retries that multiply the load of an outage.
test("retries stay within the ratio and the reserve", (t) => {
  const budget = createRetryBudget();
  const take = (count: number, now: number) =>
    Array.from({ length: count }, () => budget.tryTake(now))
      .filter((taken) => taken).length;
  for (let n = 0; n < 200; n++) budget.recordFirstAttempt(500);
  t.equal(take(100, 600), RETRY_RESERVE + RETRY_RATIO * 200);
  t.equal(take(100, 5000), 0);
  t.equal(take(100, 20_000), RETRY_RESERVE, "later only the reserve");
  t.end();
});

// Guards against requests that are all retried at the same moment, and
// against a wait that grows without limit.
test("backoff grows with jitter up to a limit", (t) => {
  const budget = createRetryBudget();
  const seed = 3;
  t.comment(`seed ${seed}`);
  const random = createRandom(seed);
  for (let retry = 1; retry < 40; retry++) {
    const full = Math.min(20 * 2 ** (retry - 1), 2000);
    const wait = budget.backoff(retry, random);
    if (wait < full / 2 || wait > full) t.fail(`${retry}: ${wait}`);
  }
  t.not(budget.backoff(5, random), budget.backoff(5, random));
  t.end();
});
