import { test } from "tap";
import { createFleet, request, step } from "../fleet_for_tests.ts";
import { createCrashCounts, createOccurrence, createProgress } from "../job.ts";
import type { JobProgress } from "../job.ts";
import { packProgress, unpackProgress } from "../record/records.ts";

type Fleet = ReturnType<typeof createFleet>;

const WORKERS = 6;
/** Starts of a task that crashes its workers, at most; the rule's bound. */
const MAX_STARTS = 5;

/** Runs starts and crashes each worker that starts the task; counts these. */
function crashUnder(fleet: Fleet, task: string, rounds: number): number {
  let crashes = 0;
  for (let round = 0; round < rounds; round++) {
    fleet.runStarts();
    const index = fleet.workerOf(task);
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

/** Crashes the worker of the task and returns its index. */
function crashBeneath(fleet: Fleet, task: string, settled: string[] = []) {
  const index = fleet.workerOf(task);
  fleet.crash(index, { settled });
  return index;
}

/** Tasks that are ordered to start or run on the worker. */
function tasksOn(fleet: Fleet, index: number): string[] {
  return [...fleet.running(index), ...fleet.starts(index)]
    .map(({ task }) => task);
}

// Guards against a job that fails because one of its neighbours crashes workers.
test("a task beside one that crashes workers is not given up", (t) => {
  const fleet = createFleet({ workers: WORKERS });
  fleet.submit(request({ id: "deadly", steps: [step({})] }));
  fleet.submit(request({ id: "innocent", steps: [step({})] }));
  fleet.runStarts();
  t.equal(
    fleet.workerOf("deadly.0.0.0"),
    fleet.workerOf("innocent.0.0.0"),
    "both run on one worker",
  );
  crashBeneath(fleet, "deadly.0.0.0");
  fleet.runStarts();
  const beside = fleet.workerOf("innocent.0.0.0");
  t.not(fleet.workerOf("deadly.0.0.0"), beside, "they are kept apart");
  const crashes = 1 + crashUnder(fleet, "deadly.0.0.0", 10);
  t.ok(crashes <= 3, `${crashes} workers crashed`);
  t.equal(fleet.status("deadly"), "failed");
  t.equal(fleet.workerOf("innocent.0.0.0"), beside, "the other runs on");
  fleet.end(beside, 0, "done");
  t.equal(fleet.status("innocent"), "completed");
  t.end();
});

// Guards against a gang that fails because a task beside one of its members
// crashes workers.
test("a gang beside a task that crashes workers is not given up", (t) => {
  const fleet = createFleet({ workers: WORKERS });
  const gang = step({ count: 2, accelerators: 4, gang: true });
  fleet.submit(request({ id: "gang", steps: [gang] }));
  fleet.submit(request({ id: "deadly", steps: [step({ accelerators: 4 })] }));
  for (let round = 0; round < 10; round++) {
    fleet.runStarts();
    for (const stop of [0, 1, 2, 3, 4, 5]) {
      if (fleet.stops(stop).length > 0) fleet.end(stop, 0, "broken");
    }
    if (fleet.workerOf("deadly.0.0.0") >= 0) {
      crashBeneath(fleet, "deadly.0.0.0");
    }
    fleet.advance(3000);
  }
  t.equal(fleet.status("deadly"), "failed");
  t.equal(fleet.status("gang"), "running");
  t.ok(fleet.workerOf("gang.0.0.0") >= 0);
  t.end();
});

// Guards against a gang that crashes workers in turn, whichever member is the
// cause.
test("a gang with a member that crashes its workers is given up", (t) => {
  const fleet = createFleet({ workers: WORKERS });
  const gang = step({ count: 2, accelerators: 8, gang: true });
  fleet.submit(request({ id: "gang", steps: [gang] }));
  let crashes = 0;
  for (let round = 0; round < 10; round++) {
    fleet.runStarts();
    if (fleet.workerOf("gang.0.0.1") >= 0) {
      crashBeneath(fleet, "gang.0.0.1");
      crashes++;
      fleet.end(fleet.workerOf("gang.0.0.0"), 0, "broken");
    }
    fleet.advance(3000);
  }
  t.ok(crashes <= MAX_STARTS, `${crashes} workers crashed`);
  t.equal(fleet.status("gang"), "failed");
  t.end();
});

// Guards against a new leader that starts counting anew.
test("crashes are still known after a change of leader", (t) => {
  let crashes = 0;
  const deadly = request({ id: "deadly", steps: [step({})] });
  let progress: JobProgress | undefined;
  for (let leader = 0; leader < 10; leader++) {
    const fleet = createFleet({ workers: WORKERS });
    if (progress) fleet.load(deadly, progress);
    else fleet.submit(deadly);
    fleet.advance(500);
    crashes += crashUnder(fleet, "deadly.0.0.0", 1);
    progress = unpackProgress(packProgress(fleet.progress("deadly")));
  }
  t.ok(crashes <= MAX_STARTS, `${crashes} workers crashed`);
  t.equal(progress?.status, "failed");
  t.same(progress?.failure, {
    code: "workers-crashed",
    task: "deadly.0.0.0",
    count: crashes,
  });
  t.end();
});

// Guards against a crash that the leader did not live to hear of.
test("a new leader learns of a crash before its term", (t) => {
  const deadly = request({ id: "deadly", steps: [step({})] });
  const first = createFleet({ workers: 1 });
  first.submit(deadly);
  first.runStarts();
  const stored = structuredClone(first.progress("deadly"));
  const second = createFleet({ workers: 1, takesOver: true });
  second.load(deadly, stored);
  second.runOn(0, "deadly.0.0.0", 1);
  second.crash(0);
  const { crashes } = second.progress("deadly").occurrences[0]!.steps[0]![0]!;
  t.same(crashes, { ...createCrashCounts(), early: 1, soleEarly: 1, total: 1 });
  t.end();
});

// Guards against a job that fails because machines or workers were lost for
// reasons of their own.
test("a task on workers that are lost for another reason goes on", (t) => {
  const fleet = createFleet({ workers: WORKERS });
  fleet.submit(request({ id: "unlucky", steps: [step({ accelerators: 8 })] }));
  const task = "unlucky.0.0.0";
  for (let round = 0; round < 8; round++) {
    fleet.runStarts();
    fleet.advance(1000);
    fleet.crash(fleet.workerOf(task), { evidence: false });
    fleet.advance(3000);
  }
  t.equal(fleet.status("unlucky"), "running", "without evidence of a crash");
  for (let round = 0; round < 2; round++) {
    fleet.runStarts();
    crashBeneath(fleet, task, [task]);
    fleet.advance(3000);
  }
  t.equal(fleet.status("unlucky"), "running", "it had settled each time");
  t.end();
});

// Guards against a task that is kept from sharing workers although a newer one
// is the likelier cause of the crash.
test("a task that has settled is not suspected beside one that just began", (t) => {
  const fleet = createFleet({ workers: WORKERS });
  fleet.submit(request({ id: "old", steps: [step({})] }));
  fleet.runStarts();
  fleet.submit(request({ id: "new", steps: [step({})] }));
  fleet.runStarts();
  crashBeneath(fleet, "new.0.0.0", ["old.0.0.0"]);
  const counts = (id: string) =>
    fleet.progress(id).occurrences[0]!.steps[0]![0]!.crashes;
  const total = { ...createCrashCounts(), total: 1 };
  t.same(counts("old"), { ...total, longestWork: 1000 });
  t.same(counts("new"), { ...total, early: 1, soleEarly: 1 });
  const placed = fleet.logsOf("Tasks placed.").slice(-2);
  t.same(
    placed.map(({ job, isolation }) => [job, isolation ?? "none"]).sort(),
    [["new", "start"], ["old", "none"]],
  );
  t.end();
});

// Guards against work that is lost because it was placed beside a suspect.
test("nothing joins a suspect until it has settled", (t) => {
  const fleet = createFleet({ workers: 2 });
  fleet.submit(request({ id: "suspect", steps: [step({})] }));
  fleet.runStarts();
  crashBeneath(fleet, "suspect.0.0.0");
  fleet.runStarts();
  const index = fleet.workerOf("suspect.0.0.0");
  const others = step({ count: 16, accelerators: 1 });
  fleet.submit(request({ id: "others", steps: [others] }));
  t.same(tasksOn(fleet, index), ["suspect.0.0.0"]);
  t.equal(tasksOn(fleet, 1 - index).length, 8);
  fleet.advance(1500);
  t.equal(tasksOn(fleet, index).length, 8, "the rest starts once it has");
  t.end();
});

// Guards against a suspect that never starts again because every worker has
// some other task.
test("a suspect joins others if no worker is free for long", (t) => {
  const fleet = createFleet({ workers: 2 });
  fleet.submit(request({ id: "suspect", steps: [step({ accelerators: 4 })] }));
  fleet.runStarts();
  const first = fleet.workerOf("suspect.0.0.0");
  const filler = step({ count: 2, accelerators: 3, maxPerWorker: 1 });
  fleet.submit(request({ id: "filler", steps: [filler] }));
  fleet.runStarts();
  crashBeneath(fleet, "suspect.0.0.0", ["filler.0.0.0", "filler.0.0.1"]);
  fleet.runStarts();
  t.equal(fleet.workerOf("suspect.0.0.0"), -1, "it waits at first");
  fleet.advance(3000);
  fleet.runStarts();
  t.equal(fleet.workerOf("suspect.0.0.0"), 1 - first, "then it joins");
  t.end();
});

/** Loads a job of one task that crashed a worker before. */
function loadSuspect(fleet: Fleet, id: string): void {
  const suspect = request({ id, steps: [step({})] });
  const occurrence = createOccurrence({ request: suspect, index: 0 });
  occurrence.steps[0]![0]!.crashes = {
    ...createCrashCounts(),
    early: 1,
    soleEarly: 1,
  };
  const progress = createProgress();
  progress.nextOccurrence = 1;
  progress.occurrences.push(occurrence);
  fleet.load(suspect, progress);
}

// Guards against urgent work that is lost because a suspect joined it.
test("a suspect joins tasks of which a crash costs least", (t) => {
  const fleet = createFleet({ workers: 2 });
  const long = step({ accelerators: 6, estimate: 60_000 });
  fleet.submit(request({ id: "urgent", priority: 0, steps: [long] }));
  const other = { ...long, accelerators: 5 };
  fleet.submit(request({ id: "batch", steps: [other] }));
  fleet.runStarts();
  loadSuspect(fleet, "suspect");
  fleet.advance(3000);
  fleet.runStarts();
  t.equal(
    fleet.workerOf("suspect.0.0.0"),
    fleet.workerOf("batch.0.0.0"),
    "it joins the batch task",
  );
  t.end();
});

// Guards against a suspect that finds no free worker because every one that
// becomes empty is filled at once.
test("a worker that is empty soon is kept free for a suspect", (t) => {
  const fleet = createFleet({ workers: 2 });
  const brief = step({ estimate: 1500, accelerators: 4 });
  fleet.submit(request({ id: "brief", steps: [brief] }));
  const long = step({ estimate: 60_000, accelerators: 7 });
  fleet.submit(request({ id: "long", steps: [long] }));
  fleet.runStarts();
  loadSuspect(fleet, "suspect");
  const more = step({ count: 16 });
  fleet.submit(request({ id: "more", steps: [more], acceptedAt: 1 }));
  const soonEmpty = fleet.workerOf("brief.0.0.0");
  t.same(tasksOn(fleet, soonEmpty), ["brief.0.0.0"]);
  t.end();
});

// Guards against a task that crashes workers without end because each time all
// processes are killed before the crash is told.
test("a task whose workers are replaced at each start is given up at last", (t) => {
  const fleet = createFleet({ workers: WORKERS });
  fleet.submit(request({ id: "deadly", steps: [step({})] }));
  for (let start = 1; start <= MAX_STARTS; start++) {
    t.equal(fleet.status("deadly"), "running");
    fleet.runStarts();
    fleet.crash(fleet.workerOf("deadly.0.0.0"), { evidence: false });
    const placed = fleet.logsOf("Tasks placed.").at(-1)!;
    t.equal(placed.isolation, undefined, "it is no suspect");
    const progress = fleet.progress("deadly");
    t.same(unpackProgress(packProgress(progress)), progress, "it is stored");
  }
  t.equal(fleet.status("deadly"), "failed");
  t.end();
});
