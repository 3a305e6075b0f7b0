import { test } from "tap";
import { formatResult } from "./format_result.ts";
import { runSoak } from "./soak.ts";

const EVENTS = 1500;
const SEEDS = [2, 6, 9];

// Guards against violations of invariants under pairs of random faults.
for (const seed of SEEDS) {
  test(`a soak with seed ${seed} breaks no invariant`, (t) => {
    const result = runSoak({ seed, events: EVENTS });
    t.comment(formatResult(result));
    t.same(result.violations, []);
    const { requests } = result.record;
    t.ok(requests.size > EVENTS / 2);
    t.ok(Object.keys(result.faults).length > 3, "several kinds of fault");
    t.end();
  });
}

// Guards against faults that the soak found: a resumed entry and its successor
// both started the same gang, a job never ended, and the final state of a job
// was not written again after the store's answer to the write was lost.
for (const seed of [255, 13, 507]) {
  test(`a soak with seed ${seed} keeps gangs whole and ends jobs`, (t) => {
    const { violations } = runSoak({ seed, events: 4000 });
    const kinds = new Set(violations.map((each) => each.invariant));
    t.notOk(kinds.has("gang-whole"));
    t.notOk(kinds.has("no-endless-wait"));
    t.end();
  });
}

// Guards against a soak that cannot be repeated from its seed.
test("the same seed gives the same soak", (t) => {
  const [first, second] = [1, 2].map(() =>
    runSoak({ seed: 3, events: 500 }).record
  );
  t.same([...first!.requests.values()], [...second!.requests.values()]);
  t.same([...first!.jobs.values()], [...second!.jobs.values()]);
  t.end();
});
