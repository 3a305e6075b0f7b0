import { test } from "tap";
import { createFleet, request, step } from "./fleet_for_tests.ts";

// Guards against tasks that wait for a worker which never comes back, while
// the agent beside it is heard.
test("work starts elsewhere once its agent has no worker", (t) => {
  const fleet = createFleet({ workers: 2 });
  fleet.submit(request({ id: "a", steps: [step({ accelerators: 7 })] }));
  fleet.runStarts();
  const first = fleet.running(0).length === 1 ? 0 : 1;
  const startsElsewhere = () =>
    fleet.starts(1 - first).map(({ task }) => task).sort();
  fleet.hide(first, "unknown");
  fleet.advance(500);
  fleet.submit(request({ id: "b", steps: [step({})] }));
  t.same(startsElsewhere(), ["b.0.0.0"], "nothing is placed on an absent one");
  fleet.advance(20_000);
  t.same(startsElsewhere(), ["b.0.0.0"], "the first may still run");
  fleet.hide(first, "vacant");
  fleet.advance(500);
  t.same(startsElsewhere(), ["a.0.0.0", "b.0.0.0"]);
  t.end();
});

// Guards against a gang that runs more often than its queue allows: the ends
// of members that were broken off may be listed before that of the failed one.
test("a gang's failure counts whichever end is listed first", (t) => {
  const fleet = createFleet({ workers: 2 });
  const gang = step({ count: 2, accelerators: 8, gang: true });
  fleet.submit(request({ id: "a", steps: [gang], maxAttempts: 2 }));
  for (let attempt = 1; attempt <= 2; attempt++) {
    fleet.runStarts();
    fleet.end(0, 0, "broken");
    fleet.end(1, 0, "failed");
    const { failures } = fleet.progress("a").occurrences[0]!.steps[0]![0]!;
    t.equal(failures, attempt);
    fleet.advance(10_000);
  }
  t.equal(fleet.status("a"), "failed");
  t.end();
});

// Guards against a gang that fails early: two members that fail are one failure.
test("members that fail in one run count once", (t) => {
  const fleet = createFleet({ workers: 2 });
  const gang = step({ count: 2, accelerators: 8, gang: true });
  fleet.submit(request({ id: "a", steps: [gang], maxAttempts: 2 }));
  fleet.runStarts();
  fleet.end(0, 0, "failed");
  fleet.end(1, 0, "failed");
  fleet.advance(10_000);
  t.equal(fleet.starts(0).length + fleet.starts(1).length, 2);
  t.end();
});

// Guards against a gang that is done and runs again, or never again: its end
// is heard from one worker after another member's worker is gone.
test("the end of one member completes a gang that lost another", (t) => {
  const fleet = createFleet({ workers: 2 });
  const gang = step({ count: 2, accelerators: 8, gang: true });
  fleet.submit(request({ id: "a", steps: [gang] }));
  fleet.runStarts();
  fleet.hide(0, "vacant");
  fleet.report(0);
  t.equal(fleet.stops(1).length, 1, "the other member is to end");
  fleet.end(1, 0, "done");
  t.equal(fleet.status("a"), "completed");
  t.end();
});
