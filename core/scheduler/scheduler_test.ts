import { test } from "tap";
import { createFleet, request, step } from "./fleet_for_tests.ts";

// Guards against leases that lapse while nothing changes: only the answer to a
// report extends the agent's grant.
test("each report is answered with orders", (t) => {
  const fleet = createFleet({ workers: 1 });
  const effects = fleet.report(0);
  t.equal(effects.filter((effect) => effect.kind === "orders").length, 1);
  t.end();
});

// Guards against a run that the next leader would not know of.
test("a start is ordered only after its record is stored", (t) => {
  const fleet = createFleet({ workers: 1, manualStore: true });
  fleet.submit(request({ id: "a", steps: [step({})] }));
  t.same(fleet.starts(0), []);
  fleet.store("a");
  t.equal(fleet.starts(0).length, 1);
  t.end();
});

// Guards against an end that is acknowledged and then lost in a power failure.
test("an ended run is acknowledged only after it is stored", (t) => {
  const fleet = createFleet({ workers: 1 });
  fleet.submit(request({ id: "a", steps: [step({})] }));
  fleet.runStarts();
  fleet.manualStore = true;
  fleet.end(0, 0, "done");
  t.equal(fleet.orders(0)?.acknowledged, 0);
  fleet.store("a");
  t.equal(fleet.orders(0)?.acknowledged, 1);
  t.equal(fleet.status("a"), "completed");
  t.end();
});

// Guards against a gang that restarts while a member of its previous run lives.
test("a failed gang restarts only after every member has ended", (t) => {
  const fleet = createFleet({ workers: 2 });
  const gang = step({ count: 2, accelerators: 8, gang: true });
  fleet.submit(request({ id: "a", steps: [gang], maxAttempts: 3 }));
  fleet.runStarts();
  fleet.end(0, 0, "failed");
  fleet.advance(10_000);
  t.equal(fleet.stops(1).length, 1, "the other member is stopped");
  t.equal(fleet.starts(0).length, 0);
  fleet.end(1, 0, "broken");
  fleet.advance(10_000);
  t.equal(fleet.starts(0).length + fleet.starts(1).length, 2);
  t.equal(fleet.progress("a").occurrences[0]!.steps[0]![0]!.failures, 1);
  t.end();
});

// Guards against a new leader that forgets a member which may still run.
test("a new leader waits for gang members that were ending", (t) => {
  const before = createFleet({ workers: 2 });
  const gang = step({ count: 2, accelerators: 8, gang: true });
  const job = request({ id: "a", steps: [gang], maxAttempts: 3 });
  before.submit(job);
  before.runStarts();
  before.end(0, 0, "failed");
  const after = createFleet({ workers: 1 });
  after.load(job, before.progress("a"));
  after.advance(5000);
  t.equal(after.starts(0).length, 0);
  t.end();
});

// Guards against a worker that gets more tasks than it has accelerators for.
test("no worker gets tasks beyond its capacity", (t) => {
  const fleet = createFleet({ workers: 2 });
  fleet.submit(
    request({ id: "a", steps: [step({ count: 40, accelerators: 1 })] }),
  );
  t.equal(fleet.starts(0).length, 8);
  t.equal(fleet.starts(1).length, 8);
  t.end();
});

// Guards against urgent tasks that wait behind long-running ones.
test("an urgent task preempts the cheapest run and takes its place", (t) => {
  const fleet = createFleet({ workers: 1 });
  fleet.submit(request({
    id: "long",
    priority: 1,
    steps: [step({ count: 2, accelerators: 4 })],
  }));
  fleet.runStarts();
  fleet.submit(request({
    id: "urgent",
    priority: 0,
    steps: [step({ accelerators: 4 })],
  }));
  t.equal(fleet.stops(0).length, 1);
  t.equal(
    fleet.starts(0).length,
    0,
    "a run that is stopping still occupies capacity",
  );
  fleet.end(0, 0, "stopped");
  t.same(fleet.starts(0).map((start) => start.task), ["urgent.0.0.0"]);
  t.end();
});

// Guards against a job that fails before its attempts are used up.
test("a job fails only after its last attempt", (t) => {
  const fleet = createFleet({ workers: 1 });
  fleet.submit(request({ id: "a", steps: [step({})], maxAttempts: 2 }));
  fleet.runStarts();
  fleet.end(0, 0, "failed");
  t.equal(fleet.status("a"), "running");
  fleet.advance(5000);
  fleet.runStarts();
  fleet.end(0, 0, "lapsed");
  fleet.advance(5000);
  fleet.runStarts();
  t.equal(
    fleet.status("a"),
    "running",
    "a lapsed lease does not count as an attempt",
  );
  fleet.end(0, 0, "failed");
  t.equal(fleet.status("a"), "failed");
  t.end();
});

// Guards against a second run while the first may still be running.
test("a silent agent's task restarts only after its grant has expired", (t) => {
  const fleet = createFleet({ workers: 2 });
  fleet.submit(request({ id: "a", steps: [step({ accelerators: 8 })] }));
  fleet.runStarts();
  const owner = fleet.running(0).length === 1 ? 0 : 1;
  const other = 1 - owner;
  fleet.silence(owner);
  fleet.advance(8000);
  t.equal(fleet.starts(other).length, 0);
  fleet.advance(600);
  t.equal(fleet.starts(other).length, 1);
  t.equal(fleet.starts(other)[0]!.run, 2);
  t.end();
});

// Guards against steps that start before the steps they depend on.
test("a step waits for the steps it depends on", (t) => {
  const fleet = createFleet({ workers: 1 });
  fleet.submit(request({
    id: "a",
    steps: [step({ count: 2 }), step({ after: [0] })],
  }));
  fleet.runStarts();
  fleet.end(0, 0, "done");
  t.equal(fleet.starts(0).length, 0);
  fleet.end(0, 0, "done");
  t.same(fleet.starts(0).map((start) => start.task), ["a.0.1.0"]);
  t.end();
});

// Guards against much work that is lost to preemption by a small urgent task
// beyond its team's guarantee.
test("an urgent task beyond the guarantee preempts only cheap runs", (t) => {
  const fleet = createFleet({ workers: 1 });
  fleet.submit(
    request({ id: "long", priority: 1, steps: [step({ accelerators: 8 })] }),
  );
  fleet.runStarts();
  fleet.advance(10_000);
  const urgent = step({ accelerators: 8, estimate: 3000 });
  fleet.submit(request({ id: "urgent", priority: 0, steps: [urgent] }));
  t.same(fleet.stops(0), []);
  fleet.guarantee("team", 8);
  t.same(fleet.stops(0).map((stop) => stop.task), ["long.0.0.0"]);
  t.end();
});

// Guards against jobs of the lowest priority that starve behind a stream of
// other jobs.
test("a job that waited long precedes later ones of higher priority", (t) => {
  const fleet = createFleet({ workers: 1 });
  const wholeWorker = () => [step({ accelerators: 8 })];
  fleet.submit(request({ id: "first", priority: 1, steps: wholeWorker() }));
  fleet.runStarts();
  const submit = (id: string, priority: number, acceptedAt: number) =>
    fleet.submit({
      ...request({ id, priority, steps: wholeWorker() }),
      acceptedAt,
    });
  submit("low", 2, 0);
  submit("soon", 1, 4000);
  submit("later", 1, 6000);
  fleet.end(0, 0, "done");
  t.match(fleet.starts(0), [{ task: "soon.0.0.0" }]);
  fleet.runStarts();
  fleet.end(0, 0, "done");
  t.match(fleet.starts(0), [{ task: "low.0.0.0" }]);
  t.end();
});

// Guards against a list of agents that grows with each replaced machine.
test("an agent that stays lost for the retention time is forgotten", (t) => {
  const fleet = createFleet({ workers: 2 });
  fleet.silence(1);
  fleet.advance(59_000);
  t.same(fleet.forgotten, []);
  fleet.advance(2000);
  t.same(fleet.forgotten, ["agent-1"]);
  t.end();
});

// Guards against urgent tasks that can start only by losing unsaved work.
test("tasks with and without checkpoints are kept on separate workers", (t) => {
  const fleet = createFleet({ workers: 2 });
  const submit = (id: string, checkpointing: boolean) =>
    fleet.submit(
      request({ id, steps: [step({ count: 2, checkpointing })] }),
    );
  submit("saving", true);
  fleet.runStarts();
  submit("other", false);
  const jobs = [0, 1].map((index) =>
    new Set([...fleet.starts(index), ...fleet.running(index)]
      .map(({ task }) => task.split(".")[0]))
  );
  t.same(jobs.map((each) => each.size), [1, 1]);
  t.end();
});

// Guards against occurrences that start early, twice or never.
test("occurrences start when due, and the last completes the job", (t) => {
  const fleet = createFleet({ workers: 1 });
  fleet.submit({
    ...request({ id: "a", steps: [step({})] }),
    schedule: { first: 1000, interval: 2000, occurrences: 2 },
  });
  fleet.advance(500);
  t.same(fleet.starts(0), []);
  fleet.advance(500);
  t.match(fleet.starts(0), [{ task: "a.0.0.0" }]);
  fleet.runStarts();
  fleet.end(0, 0, "done");
  t.equal(fleet.status("a"), "running");
  fleet.advance(2000);
  t.match(fleet.starts(0), [{ task: "a.1.0.0" }]);
  fleet.runStarts();
  fleet.end(0, 0, "done");
  t.equal(fleet.status("a"), "completed");
  t.end();
});

// Guards against a service that stays down because one of its tasks ended.
test("a long-running task starts again whichever way it ends", (t) => {
  const fleet = createFleet({ workers: 1 });
  const lasting = step({ longRunning: true });
  fleet.submit(request({ id: "a", steps: [lasting], maxAttempts: 1 }));
  for (const ending of ["failed", "done", "failed"] as const) {
    fleet.runStarts();
    fleet.end(0, 0, ending);
    fleet.advance(6000);
    t.equal(fleet.starts(0).length, 1, ending);
  }
  t.equal(fleet.status("a"), "running");
  t.end();
});

// Guards against gangs that are spread over racks and run several times slower.
test("a gang that asks for one rack is placed in one rack", (t) => {
  const fleet = createFleet({ workers: 6 });
  fleet.submit(request({ id: "a", steps: [step({ accelerators: 8 })] }));
  fleet.runStarts();
  const gang = step({ count: 3, accelerators: 8, gang: true, sameRack: true });
  fleet.submit(request({ id: "b", steps: [gang] }));
  const used = [0, 1, 2, 3, 4, 5]
    .filter((index) => fleet.starts(index).length > 0);
  t.equal(used.length, 3);
  t.equal(new Set(used.map((index) => Math.floor(index / 3))).size, 1);
  t.end();
});

// Guards against tasks far from their data, or on workers without their label.
test("a task runs near its data, and only on workers with its label", (t) => {
  const fleet = createFleet({ workers: 6 });
  fleet.submit(request({ id: "near", steps: [step({ dataRack: "rack-1" })] }));
  const racks = [0, 1, 2, 3, 4, 5]
    .filter((index) => fleet.starts(index).length > 0)
    .map((index) => Math.floor(index / 3));
  t.same(racks, [1]);
  fleet.runStarts();
  fleet.submit(request({ id: "rare", steps: [step({ label: "rare" })] }));
  fleet.advance(20_000);
  t.equal(fleet.status("rare"), "queued");
  t.end();
});

// Guards against a task that starts from the beginning despite a checkpoint.
test("a new run starts from the last checkpoint", (t) => {
  const fleet = createFleet({ workers: 1 });
  const saving = step({ checkpointing: true });
  fleet.submit(request({ id: "a", steps: [saving] }));
  fleet.runStarts();
  fleet.running(0)[0]!.checkpoint = "saved-1";
  fleet.advance(500);
  fleet.end(0, 0, "lapsed");
  t.match(fleet.starts(0), [{ run: 2, checkpoint: "saved-1" }]);
  t.end();
});

// Guards against checkpoints that are lost with the leader or at a power loss.
test("checkpoints of running tasks are stored at intervals", (t) => {
  const fleet = createFleet({ workers: 1 });
  const saving = step({ checkpointing: true });
  fleet.submit(request({ id: "a", steps: [saving] }));
  fleet.runStarts();
  const version = () => fleet.scheduler.snapshot("a")!.version;
  fleet.advance(2500);
  const before = version();
  fleet.running(0)[0]!.checkpoint = "saved-1";
  fleet.advance(2500);
  t.equal(version(), before + 1);
  fleet.advance(5000);
  t.equal(version(), before + 1, "nothing is written without a new checkpoint");
  t.end();
});
