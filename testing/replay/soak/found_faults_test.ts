// Seeds with which the soak once found a fault of the reducers.
import { test } from "tap";
import { runSoak } from "./soak.ts";

// Guards against a job that runs although its caller was told that it did not.
test("a refused job never runs, seed 8", (t) => {
  const { violations } = runSoak({ seed: 8, events: 1500 });
  t.same(violations, []);
  t.end();
});

// Guards against a gang that a resumed owner starts beside its successor.
test("a resumed entry starts no gang that was taken over, seed 255", (t) => {
  const { violations } = runSoak({ seed: 255, events: 4000 });
  t.same(violations.filter((each) => each.invariant === "gang-whole"), []);
  t.end();
});

// Guards against an accepted job that no longer fits and is never told so.
test("an accepted job that can no longer run ends, seed 13", (t) => {
  const { violations } = runSoak({ seed: 13, events: 4000 });
  t.same(violations.filter((each) => each.invariant === "no-endless-wait"), []);
  t.end();
});

// Guards against a job whose only workers became homes of other teams.
test("a job that fits no worker any more ends, seed 7", (t) => {
  const { violations, record } = runSoak({ seed: 7, events: 4000 });
  t.same(violations, []);
  const job = record.jobs.get("j10");
  t.match(job, { answer: { kind: "accepted" }, state: "failed" });
  t.end();
});

// Guards against a gang that is started again while a worker still runs it.
test("a gang that is handed over while it stops runs once, seed 2", (t) => {
  const { violations } = runSoak({ seed: 2, events: 4000 });
  t.same(violations, []);
  t.end();
});

// Guards against an accepted job that stays in its queue.
test("an accepted job does not wait without end, seed 35", (t) => {
  const { violations } = runSoak({ seed: 35, events: 4000 });
  t.same(violations, []);
  t.end();
});
