import { test } from "tap";
import { createFleet, request, step } from "../fleet_for_tests.ts";
import { createCrashCounts } from "../job.ts";

type Fleet = ReturnType<typeof createFleet>;

/** More crashes than a task may be the cause of before it is given up. */
const MANY_CRASHES = 8;
/** Crashes under a task after which it isn't started again; the rule's bound. */
const CRASH_LIMIT = 5;
const LONG = 60_000;
const HOUR = 3_600_000;

/** Waits until the task runs, and returns the index of its worker. */
function runTask(fleet: Fleet, task: string): number {
  for (let round = 0; round < 5 && fleet.workerOf(task) < 0; round++) {
    fleet.advance(1000);
    fleet.runStarts();
  }
  return fleet.workerOf(task);
}

// Guards against a job that fails because several tasks in turn crash the workers
// on which it has long begun.
test("a task beside several that crash workers in turn is not given up", (t) => {
  const fleet = createFleet({ workers: 1 });
  fleet.submit(request({ id: "innocent", steps: [step({ estimate: LONG })] }));
  for (let round = 1; round < CRASH_LIMIT; round++) {
    runTask(fleet, "innocent.0.0.0");
    fleet.advance(2000);
    const id = `deadly-${round}`;
    fleet.submit(request({ id, steps: [step({})] }));
    t.equal(runTask(fleet, `${id}.0.0.0`), 0);
    fleet.cancel(id);
    fleet.crash(0, { settled: ["innocent.0.0.0"] });
    t.equal(fleet.logsOf("Tasks placed.").at(-1)!.isolation, undefined);
  }
  t.equal(fleet.status("innocent"), "running");
  t.end();
});

// Guards against a job that fails because many jobs in turn crashed its workers,
// although each of them was given up for that.
test("a task beside many that are given up is not", (t) => {
  const fleet = createFleet({ workers: 3 });
  const task = "innocent.0.0.0";
  fleet.submit(request({ id: "innocent", steps: [step({ estimate: LONG })] }));
  for (let round = 0; round < MANY_CRASHES; round++) {
    runTask(fleet, task);
    fleet.advance(2000);
    const deadly = `deadly-${round}`;
    fleet.submit(request({ id: deadly, steps: [step({})] }));
    const beside = runTask(fleet, `${deadly}.0.0.0`);
    t.equal(beside, fleet.workerOf(task), "it begins beside the task");
    fleet.crash(beside, { settled: [task] });
    const alone = runTask(fleet, `${deadly}.0.0.0`);
    t.not(alone, fleet.workerOf(task), "it begins elsewhere again");
    fleet.crash(alone);
    t.equal(fleet.status(deadly), "failed");
  }
  t.equal(fleet.status("innocent"), "running");
  const { crashes } = fleet.progress("innocent").occurrences[0]!.steps[0]![0]!;
  t.match(crashes, { total: 0, explained: MANY_CRASHES });
  t.end();
});

// Guards against a job that fails because it began beside others several times
// that crashed the worker at once, though it ran well in between.
test("a task that has settled since is not suspected any more", (t) => {
  const fleet = createFleet({ workers: 1 });
  const task = "innocent.0.0.0";
  fleet.submit(request({ id: "innocent", steps: [step({ estimate: LONG })] }));
  for (let crashes = 1; crashes <= 3; crashes++) {
    runTask(fleet, task);
    fleet.crash(0);
    runTask(fleet, task);
    fleet.advance(2000);
    fleet.crash(0, { evidence: false });
    t.equal(fleet.status("innocent"), "running");
    t.equal(fleet.logsOf("Tasks placed.").at(-1)!.isolation, undefined);
  }
  runTask(fleet, task);
  fleet.crash(0);
  t.equal(fleet.status("innocent"), "failed", "after two starts more");
  t.end();
});

// Guards against a long-running task that is given up once enough workers have
// crashed under it over the weeks.
test("a task that worked for long is not the cause of a crash", (t) => {
  const lasting = step({ accelerators: 8, longRunning: true });
  const task = "lasting.0.0.0";
  const cases = [
    { workedFor: HOUR, crashes: MANY_CRASHES },
    { workedFor: LONG, crashes: CRASH_LIMIT - 1 },
  ];
  for (const { workedFor, crashes } of cases) {
    const fleet = createFleet({ workers: 2 });
    fleet.submit(request({ id: "lasting", steps: [lasting] }));
    for (let round = 0; round < crashes; round++) {
      const index = runTask(fleet, task);
      fleet.crash(index, { settled: [task], workedFor });
    }
    t.equal(fleet.status("lasting"), "running", `${workedFor} ms of work`);
  }
  t.end();
});

// Guards against a job that fails because its workers were taken away as
// planned.
test("a suspect on workers that leave is not given up", (t) => {
  const fleet = createFleet({ workers: MANY_CRASHES + 2 });
  const task = "suspect.0.0.0";
  fleet.submit(request({ id: "suspect", steps: [step({ estimate: LONG })] }));
  fleet.crash(runTask(fleet, task));
  for (let round = 0; round < MANY_CRASHES; round++) {
    const index = runTask(fleet, task);
    fleet.announceLeaving(index, LONG);
    fleet.crash(index, { evidence: false });
  }
  t.equal(fleet.status("suspect"), "running");
  t.end();
});

// Guards against a new leader that suspects a task which an earlier one cleared.
test("a cleared suspicion outlives its leader", (t) => {
  const suspect = request({ id: "suspect", steps: [step({})] });
  const first = createFleet({ workers: 1 });
  first.submit(suspect);
  runTask(first, "suspect.0.0.0");
  first.crash(0);
  runTask(first, "suspect.0.0.0");
  first.advance(2000);
  const second = createFleet({ workers: 1, takesOver: true });
  second.load(suspect, first.progress("suspect"));
  const { crashes } = second.progress("suspect").occurrences[0]!.steps[0]![0]!;
  t.same(crashes, { ...createCrashCounts(), total: 1 });
  t.end();
});

// Guards against a suspect that is given up for crashes of workers on which its
// start had only been ordered.
test("a start that its worker never began does not count as a crash", (t) => {
  const fleet = createFleet({ workers: MANY_CRASHES + 2 });
  const task = "suspect.0.0.0";
  fleet.submit(request({ id: "suspect", steps: [step({ estimate: LONG })] }));
  fleet.crash(runTask(fleet, task));
  for (let round = 0; round < MANY_CRASHES; round++) {
    const ordered = Array.from({ length: fleet.size }, (_, index) => index)
      .find((index) => fleet.starts(index).length > 0);
    t.ok(ordered !== undefined, "a start is ordered");
    fleet.crash(ordered!);
    fleet.advance(3000);
  }
  t.equal(fleet.status("suspect"), "running");
  t.end();
});

/** Crashes the worker of the task each time after these milliseconds of work. */
function crashAfter(fleet: Fleet, task: string, times: number[]): number {
  let crashes = 0;
  for (const workedFor of times) {
    const index = runTask(fleet, task);
    if (index < 0) break;
    fleet.crash(index, { settled: [task], workedFor });
    crashes++;
  }
  return crashes;
}

const TWELVE_SECONDS = [12_000, 11_500, 12_400, 12_100, 12_000, 11_800];

// Guards against a task that crashes worker after worker without end, each time
// after long work.
test("a task that crashes workers at one point of its work is given up", (t) => {
  const fleet = createFleet({ workers: 4 });
  fleet.submit(request({ id: "deadly", steps: [step({ estimate: LONG })] }));
  const crashes = crashAfter(fleet, "deadly.0.0.0", TWELVE_SECONDS);
  t.equal(fleet.status("deadly"), "failed");
  t.equal(crashes, 4);
  t.end();
});

// Guards against a long task that is given up since its workers crashed at
// unlike points of its work, or with others beside it.
test("a long task whose workers crash for other reasons is not given up", (t) => {
  const innocent = request({
    id: "innocent",
    steps: [step({ estimate: LONG })],
  });
  const first = createFleet({ workers: 4 });
  first.submit(innocent);
  const unlike = [12_000, 30_000, 20_000, 55_000];
  t.equal(crashAfter(first, "innocent.0.0.0", unlike), unlike.length);
  t.equal(first.status("innocent"), "running");
  const fleet = createFleet({ workers: 4 });
  fleet.submit(innocent);
  for (const workedFor of TWELVE_SECONDS) {
    const index = runTask(fleet, "innocent.0.0.0");
    fleet.stopAnswering((index + 1) % fleet.size);
    fleet.crash(index, { settled: ["innocent.0.0.0"], workedFor });
    fleet.crash((index + 1) % fleet.size);
  }
  t.equal(fleet.status("innocent"), "running");
  t.end();
});
