import { test } from "tap";
import { createLedger } from "./ledger.ts";
import type { PlacedRun } from "./ledger.ts";

/** Creates a ledger for tasks with two attempts. */
function createFixture() {
  const ledger = createLedger({
    now: () => 0,
    maxAttempts: () => 2,
    isGang: () => false,
  });
  const run = (number: number, worker = "w"): PlacedRun => ({
    task: "a.0.0.0",
    run: number,
    worker,
  });
  /** Starts a run that ends so. */
  const play = (placed: PlacedRun, ending: "done" | "failed") => {
    ledger.started(placed);
    ledger.ended(placed, ending);
    return placed;
  };
  const broken = () => ledger.violation()?.guarantee;
  return { ledger, run, play, broken };
}

// Guards against a check that misses two runs of one task.
test("a second run of a task breaks a guarantee while the first works", (t) => {
  const { ledger, run, play, broken } = createFixture();
  const crashed = run(1);
  ledger.started(crashed);
  ledger.vanished(crashed);
  ledger.started(run(2));
  t.equal(broken(), undefined);
  play(run(3, "other"), "failed");
  t.equal(broken(), "once");
  t.end();
});

// Guards against a check that misses starts after an end was noted, or that
// counts an end that nobody could note.
test("a start after an end breaks a guarantee if the end is noted", (t) => {
  const late = createFixture();
  const done = late.play(late.run(1), "done");
  late.ledger.started(late.run(2, "other"));
  t.equal(late.broken(), undefined, "not noted yet");
  late.ledger.noted(done, "done");
  t.equal(late.broken(), "done");

  const lapsed = createFixture();
  const unseen = lapsed.play(lapsed.run(1), "done");
  lapsed.ledger.lapsed("w");
  lapsed.ledger.started(lapsed.run(2, "other"));
  lapsed.ledger.noted(unseen, "done");
  t.equal(lapsed.broken(), undefined, "lapsed");
  t.end();
});

// Guards against a check that misses an attempt too many.
test("a start after the last attempt breaks a guarantee", (t) => {
  const { ledger, run, play, broken } = createFixture();
  for (const number of [1, 2]) {
    ledger.noted(play(run(number), "failed"), "failed");
  }
  t.equal(broken(), undefined);
  ledger.started(run(3));
  t.equal(broken(), "attempts");
  t.end();
});
