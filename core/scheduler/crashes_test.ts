import { test } from "tap";
import { createFleet, request, step } from "./fleet_for_tests.ts";

type Fleet = ReturnType<typeof createFleet>;

const WORKERS = 6;
/** Starts of a task that crashes its workers, at most; the rule's bound. */
const MAX_STARTS = 5;

/** Index of the worker that runs the task; -1 if none does. */
function workerOf(fleet: Fleet, task: string): number {
  return Array.from({ length: WORKERS }, (_, index) => index)
    .findIndex((index) =>
      fleet.running(index).some((running) => running.task === task)
    );
}

/** Runs starts and crashes each worker that starts the task; counts these. */
function crashUnder(fleet: Fleet, task: string, rounds: number): number {
  let crashes = 0;
  for (let round = 0; round < rounds; round++) {
    fleet.runStarts();
    const index = workerOf(fleet, task);
    if (index >= 0) {
      crashes++;
      fleet.crash(index);
    }
    fleet.advance(3000);
  }
  return crashes;
}

// Guards against one task that crashes worker after worker without end.
test("a task that crashes the workers that start it is given up", (t) => {
  const fleet = createFleet({ workers: WORKERS });
  fleet.submit(request({ id: "deadly", steps: [step({})] }));
  const crashes = crashUnder(fleet, "deadly.0.0.0", 10);
  t.ok(crashes <= MAX_STARTS, `${crashes} workers crashed`);
  t.equal(fleet.status("deadly"), "failed");
  t.end();
});
