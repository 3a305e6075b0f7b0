import { test } from "tap";
import { MINUTE } from "@dragonflyledge/model";
import { buildSpec, World } from "./testing.ts";

/**
 * A cluster of three workers, one of them the home of team a, with a queued job
 * `j` that needs the other two and waits for `blocker`, which runs on all.
 */
function createWithWaitingJob(): World {
  const world = new World(21, 3);
  world.addEntry("e1");
  world.run(4000);
  const spec = buildSpec(2, 8, { revocable: false });
  world.submit("e1", "blocker", buildSpec(3, 8));
  world.run(500);
  world.submit("e1", "j", spec);
  world.run(500);
  return world;
}

/** Fails a worker that is not the home of team a. */
function failWorkerForGood(world: World): void {
  const own = world.entry("e1").state;
  const home = own.homes?.homes[0]?.parts[0]?.worker;
  const [worker] = [...world.agents.keys()].filter((id) => id !== home);
  world.failAgent(world.agents.get(worker!)!);
}

// Guards against an accepted job that waits without end because a worker is
// lost and the others are homes of other teams. Found by
// `npm run soak -- --seed 13 --events 4000`.
test("a job that can no longer run ends as failed", (t) => {
  const world = createWithWaitingJob();
  t.equal(world.answers.get("j"), "accepted");
  t.equal(world.stateOf("j"), "queued");
  // One lost worker out of three may be behind a partition, so the job is kept
  // for an hour.
  failWorkerForGood(world);
  world.run(30 * MINUTE);
  t.equal(world.stateOf("j"), "queued");
  world.run(41 * MINUTE);
  t.equal(world.stateOf("j"), "failed");
  t.equal(world.store.get("j")?.record.reason, "never-fits");
  const audited = world.audits.some(({ kind, job, reason }) =>
    kind === "job-ended" && job === "j" && reason === "never-fits"
  );
  t.ok(audited);
  t.end();
});

// Guards against a job that ends as failed because its workers were only busy.
test("a job that waits for busy workers does not fail", (t) => {
  const world = createWithWaitingJob();
  world.run(30 * MINUTE);
  t.not(world.stateOf("j"), "failed");
  t.end();
});

// Guards against a job that ends as failed although the quota that it needs was
// lowered only for a short time.
test("a job that is impossible for less than ten minutes is kept", (t) => {
  const world = createWithWaitingJob();
  const { state } = world.entry("e1");
  const before = state.configuration!;
  const teams = before.teams.map((team) => ({ ...team, acceleratorQuota: 8 }));
  world.end("blocker", "finished");
  for (let round = 0; round < 3; round++) {
    state.configuration = { ...before, teams };
    world.run(9 * MINUTE);
    t.not(world.stateOf("j"), "failed");
    state.configuration = before;
    world.run(1 * MINUTE);
  }
  state.configuration = { ...before, teams };
  world.submit("e1", "late", buildSpec(1, 8, { revocable: false }));
  world.run(11 * MINUTE);
  t.not(world.stateOf("late"), "failed");
  t.end();
});
