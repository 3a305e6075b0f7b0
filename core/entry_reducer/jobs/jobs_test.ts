import { test } from "tap";
import { explainJob } from "./explain.ts";
import { buildSpec, World } from "./testing.ts";

/** A cluster with one entry that has run for long enough to know all workers. */
function createSettledWorld(workers: number, accelerators = 8): World {
  const world = new World(21, workers, accelerators);
  world.addEntry("e1");
  world.run(4000);
  return world;
}

// Guards against acceptance before the record is stored, and against the
// acceptance of jobs that can never run.
test("a job is accepted once stored, or refused with the true reason", (t) => {
  const world = createSettledWorld(2);
  const cases: [string, ReturnType<typeof buildSpec>, string][] = [
    ["j1", buildSpec(2, 8), "never-fits"],
    ["j2", buildSpec(1, 9), "never-fits"],
    ["j3", buildSpec(2, 8, { team: "c" }), "quota-exceeded"],
    ["j4", buildSpec(1, 1, { team: "x" }), "unknown-team"],
    ["j5", buildSpec(1, 1, { class: "x" }), "unknown-class"],
    ["j6", buildSpec(1, 8), "accepted"],
  ];
  for (const [job, spec] of cases.slice(1)) world.submit("e1", job, spec);
  world.submit("e1", "j1", buildSpec(2, 8, { revocable: false }));
  t.notOk(world.answers.has("j6"));
  world.run(100);
  for (const [job, , answer] of cases) t.equal(world.answers.get(job), answer);
  t.equal(world.running("j6").length, 1);
  world.end("j6", "finished");
  world.run(100);
  t.equal(world.stateOf("j6"), "succeeded");
  t.end();
});

// Guards against a run of a job whose caller was told that it did not run.
test("a submission never sent to the store is refused and never runs", (t) => {
  const world = createSettledWorld(2);
  world.storeMode = "refused";
  world.submit("e1", "j", buildSpec(1, 8));
  world.run(500);
  t.equal(world.answers.get("j"), "store-unavailable");
  world.storeMode = "up";
  world.run(30_000);
  t.equal(world.stateOf("j"), undefined);
  t.same(world.starts, []);
  t.end();
});

// Guards against the answer `not-run` for a job whose record was stored, so that
// another entry runs it. Found by `npm run soak -- --seed 8 --events 1500`.
test("a submission that the store does not answer is unknown", (t) => {
  const world = createSettledWorld(2);
  world.storeMode = "answers-lost";
  world.submit("e1", "j", buildSpec(1, 8));
  world.run(3000);
  t.notOk(world.answers.has("j"), "the entry tries to resolve it first");
  world.run(3000);
  t.equal(world.answers.get("j"), "unknown");
  t.equal(world.stateOf("j"), "queued");
  world.failEntry("e1");
  world.storeMode = "up";
  world.addEntry("e2");
  world.run(30_000);
  t.equal(world.running("j").length, 1);
  t.end();
});

// Guards against a refusal because a later write of a submission was not
// sent, although the first one may have been stored.
test("a submission is unknown if only later writes were not sent", (t) => {
  const world = createSettledWorld(2);
  world.storeMode = "answers-lost";
  world.submit("e1", "j", buildSpec(1, 8));
  world.run(200);
  world.storeMode = "refused";
  world.run(6000);
  t.equal(world.answers.get("j"), "unknown");
  t.end();
});

// Guards against the answer `unknown` although the store answers again before
// the submission times out.
test("a submission whose answer was lost is written again", (t) => {
  const world = createSettledWorld(2);
  world.storeMode = "answers-lost";
  world.submit("e1", "j", buildSpec(1, 8));
  world.run(200);
  world.storeMode = "up";
  world.run(2000);
  t.equal(world.answers.get("j"), "accepted");
  t.equal(world.running("j").length, 1);
  t.end();
});

// Guards against a cancelled job that runs because the entry did not know its
// record when it was cancelled.
test("a job with the answer unknown can be cancelled by its id", (t) => {
  const world = createSettledWorld(2);
  world.storeMode = "answers-lost";
  world.submit("e1", "j", buildSpec(1, 8));
  world.run(6000);
  t.equal(world.answers.get("j"), "unknown");
  world.reduce("e1", { kind: "jobCancelled", job: "j" });
  world.storeMode = "up";
  world.run(20_000);
  t.equal(world.stateOf("j"), "cancelled");
  t.same(world.running("j"), []);
  t.end();
});

// Guards against idempotent jobs whose start waits for the store.
test("accepted idempotent jobs start without the store", (t) => {
  const world = createSettledWorld(1);
  world.submit("e1", "j1", buildSpec(1, 8, { team: "a" }));
  world.submit("e1", "j2", buildSpec(1, 8, { team: "a" }));
  world.submit("e1", "j3", buildSpec(1, 8, { idempotent: false, team: "a" }));
  world.run(100);
  world.storeMode = "down";
  world.end("j1", "finished");
  world.run(100);
  t.equal(world.running("j2").length, 1);
  world.end("j2", "finished");
  world.run(10_000);
  t.same(world.starts, ["j1/0", "j2/0"]);
  world.storeMode = "up";
  world.run(5000);
  t.same(world.starts, ["j1/0", "j2/0", "j3/0"]);
  t.same(["j1", "j2"].map((job) => world.stateOf(job)), [
    "succeeded",
    "succeeded",
  ]);
  t.end();
});

// Guards against a non-idempotent job that another entry starts again, because
// its first start was not stored.
test("a non-idempotent start is stored before the commit", (t) => {
  const world = createSettledWorld(1);
  world.submit("e1", "j", buildSpec(1, 8, { idempotent: false, team: "a" }));
  world.run(100);
  const commit = world.effects.findIndex((effect) =>
    effect.kind === "send" && effect.message.kind === "commit"
  );
  const write = world.effects.findIndex((effect) =>
    effect.kind === "writeJob" && effect.record.started
  );
  t.ok(write >= 0 && write < commit);
  for (const agent of world.running("j")) world.failAgent(agent);
  world.run(20_000);
  t.equal(world.stateOf("j"), "unknown");
  t.same(world.starts, ["j/0"]);
  t.end();
});

// Guards against gangs that run without one of their members, and against a
// second run beside the first.
test("a gang that loses a worker is stopped and starts again", (t) => {
  const world = createSettledWorld(4);
  world.submit("e1", "j", buildSpec(3, 8));
  world.run(100);
  const [first, ...others] = world.running("j");
  t.equal(others.length, 2);
  if (first) world.failAgent(first);
  world.run(100);
  t.equal(world.running("j").filter((agent) => agent.up).length, 0);
  t.match(explainJob(world.entry("e1").state, "j"), /stopping: worker-lost/);
  world.run(12_000);
  t.equal(world.starts.length, 3, "no start before the lease has lapsed");
  world.run(6000);
  t.equal(world.running("j").length, 3);
  t.end();
});

// Guards against renewals of the lease although one worker does not answer.
test("a gang with a silent worker is stopped within its lease", (t) => {
  const world = createSettledWorld(2);
  world.submit("e1", "j", buildSpec(2, 8));
  world.run(100);
  const silent = world.running("j")[0];
  if (silent) silent.silent = true;
  world.run(12_100);
  t.equal(world.running("j").filter((agent) => !agent.silent).length, 0);
  t.end();
});

// Guards against endless restarts of a job that fails everywhere.
test("a job that failed on three workers ends as failed", (t) => {
  const world = createSettledWorld(5);
  world.submit("e1", "j", buildSpec(1, 8));
  for (let failure = 0; failure < 3; failure++) {
    world.run(6500);
    t.equal(world.running("j").length, 1);
    world.end("j", "failed");
  }
  world.run(1000);
  t.equal(world.stateOf("j"), "failed");
  const { record } = world.store.get("j") ?? {};
  t.equal(record?.reason, "too-many-failures");
  t.equal(new Set(record?.failedOn).size, 3);
  t.end();
});

// Guards against a team that waits for others on its home, and against a
// preempted gang of which some members keep running.
test("a team reclaims its home, and the whole gang there is requeued", (t) => {
  const world = createSettledWorld(2);
  world.submit("e1", "lent", buildSpec(2, 8));
  world.run(100);
  t.equal(world.running("lent").length, 2);
  world.submit("e1", "own", buildSpec(1, 8, { team: "a", class: "plan" }));
  world.run(4100);
  t.equal(world.running("own").length, 1);
  t.equal(world.running("lent").length, 0);
  t.ok(world.audits.some((one) => one.kind === "reclaim"));
  t.equal(world.stateOf("lent"), "queued");
  world.end("own", "finished");
  world.run(3000);
  t.equal(world.running("lent").length, 2);
  t.end();
});

// Guards against many cancellations that each scan all jobs, and against
// members of cancelled jobs that keep running.
test("cancelled jobs end, whether queued or running", (t) => {
  const world = createSettledWorld(1);
  const jobs = Array.from({ length: 200 }, (_, index) => `j${index}`);
  for (const job of jobs) world.submit("e1", job, buildSpec(1, 8));
  world.run(200);
  for (const job of jobs) world.reduce("e1", { kind: "jobCancelled", job });
  world.run(3000);
  t.ok(jobs.every((job) => world.stateOf(job) === "cancelled"));
  t.equal([...world.agents.values()][0]?.runs.size, 0);
  t.equal(world.entry("e1").state.jobs.open, 0);
  t.equal(world.starts.length, 1);
  t.end();
});

// Guards against quotas that count only accelerators of the team's own homes.
test("borrowed accelerators count towards the quota", (t) => {
  const world = createSettledWorld(3);
  const spec = buildSpec(1, 8, { team: "c" });
  for (const job of ["j1", "j2"]) world.submit("e1", job, spec);
  world.run(2000);
  t.same(world.starts, ["j1/0"]);
  t.match(explainJob(world.entry("e1").state, "j2"), /holds 8 of its quota/);
  t.end();
});

// Guards against urgent work that waits because deferrable work of its own team
// has used up the quota.
test("deferrable work is stopped if urgent work needs the quota", (t) => {
  const world = createSettledWorld(3);
  const spec = buildSpec(1, 8, { team: "c" });
  world.submit("e1", "slow", spec);
  world.run(1000);
  world.submit("e1", "now", { ...spec, class: "plan" });
  world.run(4100);
  t.equal(world.running("now").length, 1);
  t.equal(world.running("slow").length, 0);
  t.end();
});

// Guards against a large gang that never starts because small jobs take each
// worker that comes free.
test("a large gang that waits for a minute gets a hold and starts", (t) => {
  const world = createSettledWorld(2);
  const small = buildSpec(1, 4, { revocable: false, team: "a" });
  const backfill = buildSpec(1, 4, { command: "other" });
  for (const job of ["s1", "s2"]) world.submit("e1", job, small);
  world.run(100);
  world.submit("e1", "large", buildSpec(2, 8, { team: "a" }));
  world.run(100);
  world.submit("e1", "b1", backfill);
  world.run(61_000);
  t.equal(world.entry("e1").state.jobs.hold?.job, "large");
  world.submit("e1", "late", buildSpec(1, 4, { revocable: false }));
  world.submit("e1", "b2", backfill);
  world.submit("e1", "now", buildSpec(1, 4, { class: "plan" }));
  world.run(1000);
  t.equal(world.running("late").length, 0);
  t.equal(world.running("now").length, 1);
  for (const job of ["s1", "s2", "now"]) world.end(job, "finished");
  world.run(6000);
  t.equal(world.running("large").length, 2);
  t.equal(world.entry("e1").state.jobs.hold, undefined);
  t.end();
});

// Guards against a hold that keeps capacity idle without end.
test("a hold ends after ten minutes", (t) => {
  const world = createSettledWorld(2);
  const fixed = buildSpec(1, 4, { team: "a", revocable: false });
  world.submit("e1", "blocks", fixed);
  world.run(100);
  world.submit("e1", "large", buildSpec(2, 8, { team: "a" }));
  world.run(62_000);
  t.equal(world.entry("e1").state.jobs.hold?.job, "large");
  world.submit("e1", "late", fixed);
  world.run(500_000);
  t.equal(world.running("late").length, 0);
  world.run(110_000);
  t.equal(world.running("late").length, 1);
  t.end();
});

// Guards against urgent work that waits for other work, a team that waits for
// others on its home, and one team that takes all capacity.
test("urgent jobs start first, then guaranteed, then by fair share", (t) => {
  const world = createSettledWorld(3);
  const spec = (team: string, change = {}) =>
    buildSpec(1, 8, { team, ...change });
  for (const job of ["b1", "b2"]) world.submit("e1", job, spec("b"));
  world.submit("e1", "a1", spec("a", { class: "plan", revocable: false }));
  world.run(500);
  const queued = { b3: "b", c1: "c", a2: "a" };
  for (const [job, team] of Object.entries(queued)) {
    world.submit("e1", job, spec(team));
  }
  world.submit("e1", "b4", spec("b", { class: "plan", revocable: false }));
  world.run(5000);
  t.equal(world.running("b4").length, 1, "urgent work preempts other work");
  world.end("a1", "finished");
  world.run(100);
  t.equal(world.running("a2").length, 1, "the home of team a is free again");
  world.end("b4", "finished");
  world.run(100);
  t.equal(world.running("c1").length, 1, "team c holds the least");
  t.end();
});

// Guards against a job that never starts because it is always placed on the
// same worker, whose agent refuses it.
test("a job refused by one worker starts on another", (t) => {
  const world = createSettledWorld(3);
  const spec = buildSpec(1, 8, { team: "a", revocable: false });
  const home = world.homes?.homes[0]?.parts[0]?.worker ?? "";
  const agent = world.agents.get(home);
  if (agent === undefined) throw new Error("no home was assigned");
  agent.reserve = (entry, { run }) =>
    agent.send(entry, { kind: "reserveRefused", run, reason: "not-revocable" });
  world.submit("e1", "j", spec);
  world.run(1000);
  t.equal(world.running("j").length, 1);
  t.end();
});
