import { test } from "tap";
import { createFleet, request, step } from "../fleet_for_tests.ts";
import { TaskPhase } from "../job.ts";
import type { JobProgress, JobRequest, Step } from "../job.ts";
import { packProgress, unpackProgress } from "../record/records.ts";

type Fleet = ReturnType<typeof createFleet>;

const WORKERS = 8;
/** Crashes under a task after which it isn't started again; the rule's bound. */
const CRASH_LIMIT = 5;
const ROUNDS = 20;
const HOUR = 3_600_000;
const WHOLE = step({ accelerators: 8, estimate: 60_000 });

/** Waits until all the tasks run, if their jobs go on. */
function runTasks(fleet: Fleet, tasks: string[]): string[] {
  const isRunning = (task: string) => fleet.workerOf(task) >= 0;
  for (let wait = 0; wait < 6 && !tasks.every(isRunning); wait++) {
    fleet.advance(1000);
    fleet.runStarts();
  }
  return tasks.filter(isRunning);
}

/** Crashes the workers of the tasks at one moment; returns their number. */
function crashAtOnce(
  fleet: Fleet,
  tasks: string[],
  fields: { workedFor: number; idle?: number[] },
): number {
  const running = runTasks(fleet, tasks);
  const { workedFor, idle = [] } = fields;
  if (workedFor > 0) fleet.advance(1000);
  const indices = running.map((task) => fleet.workerOf(task));
  for (const index of [...indices, ...idle]) fleet.stopAnswering(index);
  const settled = workedFor > 0 ? running : [];
  for (const index of indices) fleet.crash(index, { settled, workedFor });
  for (const index of idle) fleet.crash(index);
  return running.length;
}

/** Crashes under each of the tasks, until none of them runs any more. */
function countCrashes(
  fleet: Fleet,
  tasks: string[],
  times: number[],
): Map<string, number> {
  const crashes = new Map<string, number>();
  for (let round = 0; round < ROUNDS; round++) {
    for (const task of runTasks(fleet, tasks)) {
      crashes.set(task, (crashes.get(task) ?? 0) + 1);
    }
    const workedFor = times[round % times.length]!;
    if (crashAtOnce(fleet, tasks, { workedFor }) === 0) break;
  }
  return crashes;
}

const PAIR: Step = { ...WHOLE, count: 2 };
const TIES: Record<string, JobRequest[]> = {
  "of one step": [request({ id: "a", steps: [PAIR] })],
  "of two steps": [request({ id: "a", steps: [WHOLE, WHOLE] })],
  "of two jobs": [
    request({ id: "a", steps: [WHOLE] }),
    request({ id: "b", steps: [WHOLE] }),
  ],
  "of a gang": [request({ id: "a", steps: [{ ...PAIR, gang: true }] })],
  "of two occurrences": [{
    ...request({ id: "a", steps: [WHOLE] }),
    schedule: { first: 0, interval: 1, occurrences: 2 },
  }],
};
const TASKS: Record<string, string[]> = {
  "of one step": ["a.0.0.0", "a.0.0.1"],
  "of two steps": ["a.0.0.0", "a.0.1.0"],
  "of two jobs": ["a.0.0.0", "b.0.0.0"],
  "of a gang": ["a.0.0.0", "a.0.0.1"],
  "of two occurrences": ["a.0.0.0", "a.1.0.0"],
};

// Guards against tasks that excuse each other's crashes, since they crash their
// workers together, and are started without end.
for (const [tie, requests] of Object.entries(TIES)) {
  for (const times of [[0], [3000], [12_000], [11_000, 14_000], [300, 3000]]) {
    test(`tasks ${tie} that crash together after ${times} ms are given up`, (t) => {
      const fleet = createFleet({ workers: WORKERS });
      for (const each of requests) fleet.submit(each);
      fleet.advance(500);
      const crashes = countCrashes(fleet, TASKS[tie]!, times);
      t.equal(crashes.size, 2);
      for (const [task, count] of crashes) {
        t.ok(count <= CRASH_LIMIT, `${count} workers crashed under ${task}`);
      }
      for (const { id } of requests) t.equal(fleet.status(id), "failed");
      t.end();
    });
  }
}

// Guards against a task that crashes its workers at unlike points of its work,
// each of which clears it of the crashes before.
test("a task that crashes its workers after varying times is given up", (t) => {
  const schedules = [
    [11_000, 14_000],
    [12_000, 30_000, 20_000, 55_000, 15_000],
    [0, 3000],
    [0, 12_000],
    [3000, 15_000],
    [20_000, 40_000, 80_000, 160_000, 320_000, 640_000],
  ];
  for (const times of schedules) {
    for (const longRunning of [false, true]) {
      const fleet = createFleet({ workers: WORKERS });
      const steps = [{ ...WHOLE, longRunning }];
      fleet.submit(request({ id: "deadly", steps }));
      const crashes = countCrashes(fleet, ["deadly.0.0.0"], times);
      const count = crashes.get("deadly.0.0.0")!;
      t.ok(count <= CRASH_LIMIT, `${times} ms: ${count} workers crashed`);
      t.equal(fleet.status("deadly"), "failed");
    }
  }
  t.end();
});

/** Crashes the only worker, each time beside a task that has just begun. */
function crashBesideOthers(fleet: Fleet, task: string): number {
  for (let crashes = 0; crashes < ROUNDS; crashes++) {
    if (runTasks(fleet, [task]).length === 0) return crashes;
    fleet.advance(2000);
    const id = `beside-${crashes}`;
    fleet.submit(request({ id, steps: [step({})] }));
    runTasks(fleet, [`${id}.0.0.0`]);
    fleet.cancel(id);
    fleet.crash(0, { settled: [task] });
  }
  return Infinity;
}

// Guards against a task whose every crash is put down to another one that has
// just begun beside it.
test("a task that crashes workers on which others begin is given up", (t) => {
  const fleet = createFleet({ workers: 1 });
  const deadly = step({ estimate: 60_000 });
  fleet.submit(request({ id: "deadly", steps: [deadly] }));
  t.equal(crashBesideOthers(fleet, "deadly.0.0.0"), CRASH_LIMIT);
  t.equal(fleet.status("deadly"), "failed");
  t.end();
});

// Guards against a task that is started a third time after three crashes, since
// a run in between was stopped for another task.
test("runs that are stopped count as starts after three crashes", (t) => {
  const fleet = createFleet({ workers: 1 });
  const task = "deadly.0.0.0";
  fleet.submit(request({ id: "deadly", steps: [WHOLE] }));
  let starts = 0;
  for (const workedFor of [12_000, 30_000, 20_000]) {
    crashAtOnce(fleet, [task], { workedFor });
  }
  for (let round = 0; round < ROUNDS; round++) {
    if (runTasks(fleet, [task]).length === 0) break;
    starts++;
    const id = `urgent-${round}`;
    fleet.submit(
      request({ id, priority: 0, steps: [{ ...WHOLE, estimate: 1 }] }),
    );
    fleet.end(0, 0, "stopped");
    runTasks(fleet, [`${id}.0.0.0`]);
    fleet.end(0, 0, "done");
  }
  t.equal(starts, 2);
  t.equal(fleet.status("deadly"), "failed");
  t.end();
});

/** Progress as a new leader reads it, with all tasks waiting. */
function readProgress(fleet: Fleet, id: string): JobProgress {
  const progress = unpackProgress(packProgress(fleet.progress(id)));
  const tasks = progress.occurrences.flatMap(({ steps }) => steps.flat());
  for (const task of tasks) {
    // A start that was not sent does not count.
    if (task.phase === TaskPhase.Assigned && task.crashes.lateStarts > 0) {
      task.crashes.lateStarts--;
    }
    task.phase = TaskPhase.Waiting;
  }
  return progress;
}

// Guards against excused crashes that a new leader does not know of.
test("excused crashes are still known after a change of leader", (t) => {
  const requests = TIES["of two jobs"]!;
  let fleet = createFleet({ workers: WORKERS });
  for (const each of requests) fleet.submit(each);
  for (let crash = 1; crash <= CRASH_LIMIT; crash++) {
    for (const { id } of requests) t.equal(fleet.status(id), "running");
    crashAtOnce(fleet, TASKS["of two jobs"]!, { workedFor: 3000 });
    const successor = createFleet({ workers: WORKERS });
    for (const each of requests) {
      successor.load(each, readProgress(fleet, each.id));
    }
    fleet = successor;
  }
  t.match(fleet.progress("a").failure, {
    code: "workers-crashed",
    count: CRASH_LIMIT,
  });
  t.end();
});

// Guards against a job that fails since racks lost power while it was at work.
test("a task is not given up for crashes that idle workers share", (t) => {
  for (const workedFor of [3000, 12_000]) {
    const fleet = createFleet({ workers: WORKERS });
    fleet.submit(request({ id: "innocent", steps: [WHOLE] }));
    const task = "innocent.0.0.0";
    for (let crash = 0; crash < ROUNDS; crash++) {
      runTasks(fleet, [task]);
      const idle = [(fleet.workerOf(task) + 1) % WORKERS];
      crashAtOnce(fleet, [task], { workedFor, idle });
    }
    t.equal(fleet.status("innocent"), "running");
  }
  t.end();
});

// Guards against a job that is given up sooner than the limit asks for, since
// workers crashed at unlike points of its work or in which others began.
test("a task is not given up below the limit of excused crashes", (t) => {
  const fleet = createFleet({ workers: WORKERS });
  fleet.submit(request({ id: "innocent", steps: [WHOLE] }));
  for (const workedFor of [12_000, 30_000, 20_000, 55_000]) {
    crashAtOnce(fleet, ["innocent.0.0.0"], { workedFor });
  }
  t.equal(fleet.status("innocent"), "running");
  t.end();
});

// Guards against a job of many days that is given up for crashes of workers over
// all this time.
test("crashes are forgotten once a task has worked for an hour", (t) => {
  const unlike = [HOUR, 3 * HOUR, 2 * HOUR, 5 * HOUR, 1.5 * HOUR, 4 * HOUR];
  const schedules = [
    { longRunning: true, times: [HOUR] },
    { longRunning: true, times: [3000, 60_000, 12_000, HOUR] },
    { longRunning: false, times: unlike },
  ];
  for (const { longRunning, times } of schedules) {
    const fleet = createFleet({ workers: WORKERS });
    const steps = [{ ...WHOLE, longRunning }];
    fleet.submit(request({ id: "innocent", steps }));
    for (let crash = 0; crash < ROUNDS; crash++) {
      const workedFor = times[crash % times.length]!;
      crashAtOnce(fleet, ["innocent.0.0.0"], { workedFor });
    }
    t.equal(fleet.status("innocent"), "running", `${times} ms`);
  }
  t.end();
});
