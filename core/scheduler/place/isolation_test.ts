import { test } from "tap";
import { createFleet, request, step } from "../fleet_for_tests.ts";

type Fleet = ReturnType<typeof createFleet>;

const WORKERS = 7;
const ACCELERATORS = 8;
const HOUR = 3_600_000;
/** Time in ms in which a job begins that has room; the rule's bound. */
const BEGIN_LIMIT = 3000;
/** Same, for urgent jobs. */
const URGENT_BEGIN_LIMIT = 2700;
const INTERVAL = 100;
const LONG = step({ count: WORKERS, estimate: HOUR });

/** Passes time, in which workers begin what is ordered from them. */
function pass(fleet: Fleet, duration: number): void {
  for (let passed = 0; passed < duration; passed += INTERVAL) {
    fleet.advance(INTERVAL);
    fleet.runStarts();
  }
}

/** Names of the tasks of a job with one step. */
function tasksOf(job: string, count: number): string[] {
  return Array.from({ length: count }, (_, index) => `${job}.0.0.${index}`);
}

function isRunning(fleet: Fleet, tasks: string[]): boolean {
  return tasks.every((task) => fleet.workerOf(task) >= 0);
}

/** Time until all tasks run; Infinity if they don't within a minute. */
function timeUntilRunning(fleet: Fleet, tasks: string[]): number {
  for (let passed = 0; passed <= 60_000; passed += INTERVAL) {
    if (isRunning(fleet, tasks)) return passed;
    pass(fleet, INTERVAL);
  }
  return Infinity;
}

/** Indexes of workers, the one with most tasks first. */
function byFill(fleet: Fleet): number[] {
  return Array.from({ length: fleet.size }, (_, index) => index)
    .sort((a, b) => fleet.running(b).length - fleet.running(a).length);
}

/**
 * Crashes the worker with most tasks twice, each time after they have worked
 * that long. All of them are suspects then.
 */
function crashTwice(fleet: Fleet, tasks: string[], workedFor: number): void {
  for (let crash = 0; crash < 2; crash++) {
    timeUntilRunning(fleet, tasks);
    pass(fleet, 1000);
    fleet.crash(byFill(fleet)[0]!, { settled: tasks, workedFor });
  }
}

/** Tasks that have a worker of their own, off which others are kept. */
function countClosed(fleet: Fleet): number {
  return [...fleet.scheduler.state.workers.values()]
    .filter(({ isolatedRuns }) => isolatedRuns > 0).length;
}

const LATER = [
  { priority: 0, steps: [step({})], limit: URGENT_BEGIN_LIMIT },
  { priority: 1, steps: [step({})], limit: BEGIN_LIMIT },
  { priority: 2, steps: [step({ count: 10 })], limit: BEGIN_LIMIT },
  {
    priority: 1,
    steps: [step({ count: 5, accelerators: 4, maxPerWorker: 1, gang: true })],
    limit: BEGIN_LIMIT,
  },
];

// Guards against long tasks that keep all other jobs off the fleet, since each
// is suspected of two crashes and keeps a worker to itself for as long as it
// runs.
for (const workedFor of [4000, 12_000, HOUR]) {
  test(`suspects of crashes after ${workedFor} ms let later jobs begin`, (t) => {
    const fleet = createFleet({ workers: WORKERS });
    const tasks = tasksOf("long", WORKERS);
    fleet.submit(request({ id: "long", steps: [LONG] }));
    crashTwice(fleet, tasks, workedFor);
    t.ok(timeUntilRunning(fleet, tasks) < 5000, "the long job goes on");
    LATER.forEach(({ priority, steps, limit }, index) => {
      const id = `later-${index}`;
      fleet.submit(request({ id, priority, steps }));
      const took = timeUntilRunning(fleet, tasksOf(id, steps[0]!.count));
      t.ok(took < limit, `priority ${priority}: began after ${took} ms`);
    });
    t.end();
  });
}

// Guards against suspects that wait without end for workers that other suspects
// keep to themselves.
test("more suspects than workers begin again", (t) => {
  const fleet = createFleet({ workers: WORKERS });
  const half = { ...LONG, count: ACCELERATORS / 2 };
  fleet.submit(request({ id: "a", steps: [half] }));
  fleet.submit(request({ id: "b", steps: [half] }));
  const tasks = [...tasksOf("a", half.count), ...tasksOf("b", half.count)];
  crashTwice(fleet, tasks, 4000);
  const took = timeUntilRunning(fleet, tasks);
  t.ok(took < 5000, `the suspects began after ${took} ms`);
  fleet.submit(request({ id: "later", steps: [step({})] }));
  const later = timeUntilRunning(fleet, ["later.0.0.0"]);
  t.ok(later < BEGIN_LIMIT, `the later job began after ${later} ms`);
  t.end();
});

// Guards against suspects that close a whole fleet at once.
test("suspects of late crashes close half of the workers at most", (t) => {
  const fleet = createFleet({ workers: WORKERS });
  const tasks = tasksOf("long", WORKERS);
  fleet.submit(request({ id: "long", steps: [LONG] }));
  crashTwice(fleet, tasks, HOUR);
  timeUntilRunning(fleet, tasks);
  pass(fleet, 1000);
  t.equal(countClosed(fleet), Math.floor(WORKERS / 2));
  fleet.submit(request({ id: "later", steps: [step({})] }));
  const took = timeUntilRunning(fleet, ["later.0.0.0"]);
  t.ok(took <= 500, `a later job began after ${took} ms`);
  t.end();
});

// Guards against workers that stay closed although their suspects have worked
// for longer than at the crashes.
test("a suspect that has outlived its crashes keeps no others off", (t) => {
  const fleet = createFleet({ workers: WORKERS });
  const tasks = tasksOf("long", 3);
  fleet.submit(request({ id: "long", steps: [{ ...LONG, count: 3 }] }));
  crashTwice(fleet, tasks, 4000);
  timeUntilRunning(fleet, tasks);
  pass(fleet, 4000);
  t.equal(countClosed(fleet), 3, "it may still crash them at that point");
  pass(fleet, 3000);
  t.equal(countClosed(fleet), 0);
  t.match(fleet.logsOf("Isolation of a suspect ended."), [
    { reason: "outlived the crashes" },
    { reason: "outlived the crashes" },
    { reason: "outlived the crashes" },
  ]);
  t.end();
});

// Guards against a suspect that is joined by others although they have room
// elsewhere.
test("tasks with room elsewhere join no suspect of late crashes", (t) => {
  const fleet = createFleet({ workers: 4 });
  fleet.submit(request({ id: "long", steps: [{ ...LONG, count: 1 }] }));
  crashTwice(fleet, ["long.0.0.0"], HOUR);
  timeUntilRunning(fleet, ["long.0.0.0"]);
  const index = fleet.workerOf("long.0.0.0");
  const others = step({ count: 3 * ACCELERATORS, estimate: HOUR });
  fleet.submit(request({ id: "others", steps: [others] }));
  pass(fleet, 5000);
  t.same(fleet.running(index).map(({ task }) => task), ["long.0.0.0"]);
  t.ok(isRunning(fleet, tasksOf("others", others.count)));
  t.end();
});

/** Lets each worker begin its starts, but for those of the task. */
function beginWithout(fleet: Fleet, withheld: string): void {
  for (let index = 0; index < fleet.size; index++) {
    const running = fleet.running(index).map(({ task }) => task);
    for (const { task, run } of fleet.starts(index)) {
      const isOpen = task !== withheld && !running.includes(task);
      if (isOpen) fleet.runOn(index, task, run);
    }
    fleet.report(index);
  }
}

// Guards against suspects that never settle, since a member of their gang does
// not begin, and keep all other tasks off their workers.
test("a gang that never assembles does not keep others off", (t) => {
  const fleet = createFleet({ workers: 4 });
  const members = step({ count: 4, accelerators: 2, maxPerWorker: 1 });
  const gang = { ...members, gang: true, estimate: HOUR };
  fleet.submit(request({ id: "gang", steps: [gang] }));
  const tasks = tasksOf("gang", 4);
  timeUntilRunning(fleet, tasks);
  const crashed = fleet.workerOf(tasks[0]!);
  fleet.crash(crashed);
  for (let index = 0; index < fleet.size; index++) {
    if (fleet.running(index).length > 0) fleet.end(index, 0, "broken");
  }
  for (const priority of [0, 1]) {
    const id = `later-${priority}`;
    fleet.submit(request({ id, priority, steps: [step({})] }));
    const limit = priority === 0 ? URGENT_BEGIN_LIMIT : BEGIN_LIMIT;
    for (let passed = 0; passed < limit; passed += INTERVAL) {
      fleet.advance(INTERVAL);
      beginWithout(fleet, tasks[3]!);
    }
    t.ok(isRunning(fleet, [`${id}.0.0.0`]), `priority ${priority} begins`);
  }
  t.end();
});
