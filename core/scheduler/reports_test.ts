import { test } from "tap";
import { createFleet, request, step } from "./fleet_for_tests.ts";

// Guards against work for a worker that has left and whose late heartbeat
// reached its agent, for example after a restart of the agent.
test("a worker gets no task before it has listed its runs", (t) => {
  const fleet = createFleet({ workers: 2, takesOver: true });
  fleet.mute(1, true);
  fleet.endLoading();
  fleet.report(0);
  fleet.report(1);
  fleet.tickAfter(50);
  const steps = [step({ count: 4, accelerators: 4 })];
  fleet.submit(request({ id: "a", steps }));
  t.equal(fleet.starts(0).length, 2);
  t.equal(fleet.starts(1).length, 0);
  fleet.mute(1, false);
  fleet.report(1);
  t.equal(fleet.starts(1).length, 2, "it gets tasks once it answers");
  t.end();
});

// Guards against running work that is started again elsewhere, or given up,
// because its machine was silent for a while.
test("the run of an agent that was silent for 7 s goes on", (t) => {
  const fleet = createFleet({ workers: 2 });
  fleet.submit(request({ id: "a", steps: [step({ accelerators: 8 })] }));
  fleet.runStarts();
  const [running] = fleet.running(0);
  fleet.silence(0);
  fleet.advance(7000);
  t.same(fleet.starts(1), []);
  fleet.report(0);
  t.same(fleet.stops(0), []);
  t.same(fleet.running(0), [running]);
  fleet.end(0, 0, "done");
  t.equal(fleet.status("a"), "completed");
  t.end();
});
