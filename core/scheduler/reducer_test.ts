import { test } from "tap";
import { createFleet, request, step } from "./fleet_for_tests.ts";

// Guards against a leader that plans for each of the many reports which arrive
// together, so that the last of them is read hundreds of milliseconds late.
test("reports that arrive together lead to one round of planning", (t) => {
  const fleet = createFleet({ workers: 20, planningInterval: 15 });
  fleet.tickAfter(100);
  const steps = [step({ count: 160 })];
  fleet.submit(request({ id: "fill", steps }));
  fleet.planAfter(15);
  fleet.runStarts();
  fleet.tickAfter(100);
  for (let index = 0; index < 8; index++) {
    const id = `waits-${index}`;
    fleet.submit(request({ id, priority: 2, steps: [step({})] }));
  }
  const plannedAt = () => fleet.scheduler.state.plannedAt;
  const before = plannedAt();
  for (let index = 0; index < 8; index++) fleet.end(index, 0, "done");
  t.equal(plannedAt(), before, "no round between them");
  t.equal(fleet.status("waits-7"), "queued");
  fleet.planAfter(15);
  t.equal(plannedAt(), before + 15);
  t.equal(fleet.status("waits-7"), "running", "the next one serves them all");
  t.end();
});

// Guards against an urgent job that waits for the next round of planning though
// nothing was planned for long.
test("a job that comes alone is planned at once", (t) => {
  const fleet = createFleet({ workers: 1, planningInterval: 15 });
  fleet.tickAfter(100);
  fleet.tickAfter(100);
  fleet.submit(request({ id: "a", steps: [step({})] }));
  t.equal(fleet.status("a"), "queued", "right after a round");
  fleet.planAfter(15);
  t.equal(fleet.status("a"), "running");
  fleet.advance(500);
  t.end();
});

// Guards against orders to each agent of a job whenever one of its tasks ends,
// which a fleet of hundreds of workers turns into thousands of messages.
test("a confirmed write sends orders only where a start waits for it", (t) => {
  const fleet = createFleet({ workers: 20, manualStore: true });
  fleet.submit(request({ id: "a", steps: [step({ count: 160 })] }));
  fleet.store("a");
  fleet.runStarts();
  fleet.end(0, 0, "done");
  const { version } = fleet.scheduler.snapshot("a")!;
  const effects = fleet.scheduler
    .reduce({ kind: "stored", now: 0, job: "a", version });
  const agents = effects.flatMap((effect) =>
    effect.kind === "orders" ? [effect.agent] : []
  );
  t.same(agents, ["agent-0"], "the end is acknowledged there");
  t.end();
});
