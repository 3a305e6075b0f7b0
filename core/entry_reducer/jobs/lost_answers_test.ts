import { test } from "tap";
import { buildSpec, World } from "./testing.ts";

// Guards against an entry that never exits: the handover of a job waited for
// the write of its start, and was forgotten when that was not answered. Found
// by `npm run soak -- --seed 1 --events 3000`.
test("a handover goes on after the write of a start was not answered", (t) => {
  const world = new World(21, 1);
  world.addEntry("e1");
  world.run(4000);
  world.submit("e1", "j", buildSpec(1, 8, { idempotent: false, team: "a" }));
  let stopped = false;
  const stopDuringStart = () => {
    const { jobs } = world.entry("e1").state.jobs;
    if (stopped || jobs.get("j")?.write?.then !== "start") return;
    stopped = true;
    world.storeMode = "answers-lost";
    world.reduce("e1", { kind: "stopRequested" });
  };
  for (let delay = 0; delay < 500; delay++) world.after(delay, stopDuringStart);
  world.run(500);
  t.ok(stopped, "the entry stops while the write is under way");
  world.storeMode = "up";
  world.run(8000);
  t.equal(world.store.get("j")?.record.owner, "");
  t.ok(world.effects.some((effect) => effect.kind === "exit"));
  t.same(world.starts, []);
  t.end();
});
