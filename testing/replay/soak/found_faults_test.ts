// Seeds with which the soak found a fault of the reducers. Those that still
// show one are listed in KNOWN-RED.txt.
import { test } from "tap";
import { runSoak } from "./soak.ts";

function violations(seed: number, events: number, invariant: string) {
  return runSoak({ seed, events }).violations
    .filter((each) => each.invariant === invariant);
}

// Guards against a job that runs although its caller was told that it did not
// run.
test("a refused job never runs, seed 8", (t) => {
  t.same(violations(8, 1500, "not-run-true"), []);
  t.end();
});

// Guards against a job that claims a guarantee and starts late because it waits
// for the probe of a quarantined worker.
for (const seed of [425, 487]) {
  test(`an owner starts in time after a quarantine, seed ${seed}`, (t) => {
    t.same(violations(seed, 4000, "guarantee-reclaimable"), []);
    t.end();
  });
}

// Guards against a gang that two entries start at the same time.
test("a gang runs once at a time, seed 527", (t) => {
  t.same(violations(527, 4000, "gang-whole"), []);
  t.end();
});

// Guards against an accepted job that never ends.
for (const seed of [219, 405, 511]) {
  test(`every accepted job ends, seed ${seed}`, (t) => {
    t.same(violations(seed, 4000, "no-endless-wait"), []);
    t.end();
  });
}

// Guards against a job that stays queued after the only workers that can hold
// it became homes of other teams.
test("a job that fits no worker any more ends, seed 7", (t) => {
  const { violations, record } = runSoak({ seed: 7, events: 4000 });
  t.same(violations, []);
  const job = record.jobs.get("j10");
  t.match(job, { answer: { kind: "accepted" }, state: "failed" });
  t.end();
});

// Guards against an ended job that keeps a stopping entry from exiting, so that
// the other jobs of the entry wait for it.
test("a stopping entry ends and its jobs go on, seed 113", (t) => {
  t.same(violations(113, 4000, "no-endless-wait"), []);
  t.end();
});

// Guards against a gang that is started again while a worker still runs it.
test("a gang that is handed over while it stops runs once, seed 2", (t) => {
  const { violations } = runSoak({ seed: 2, events: 4000 });
  t.same(violations, []);
  t.end();
});

// Guards against an accepted job that stays queued forever.
test("an accepted job does not wait without end, seed 35", (t) => {
  const { violations } = runSoak({ seed: 35, events: 4000 });
  t.same(violations, []);
  t.end();
});
