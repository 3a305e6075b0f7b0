import { test } from "tap";
import { createFleet, request, step } from "./fleet_for_tests.ts";

/** An urgent job of one task that needs a whole worker. */
function urgent(id: string, team: string, acceptedAt = 0) {
  const steps = [step({ accelerators: 8, estimate: 60_000 })];
  return request({ id, team, priority: 0, steps, acceptedAt });
}

// Guards against a guarantee that an owner can't reclaim because the urgent
// jobs of another team borrow it.
test("an owner reclaims its guarantee from other teams' urgent jobs", (t) => {
  const fleet = createFleet({ workers: 1 });
  fleet.guarantee("owner", 8);
  fleet.submit(urgent("borrowed", "borrower"));
  fleet.runStarts();
  fleet.advance(5000);
  fleet.submit(urgent("owned", "owner"));
  t.match(fleet.stops(0), [{ task: "borrowed.0.0.0" }]);
  fleet.end(0, 0, "stopped");
  t.match(fleet.starts(0), [{ task: "owned.0.0.0" }]);
  t.end();
});
