import { test } from "tap";
import { runDeployment } from "./deployment_scenario.ts";

// Guards against lost, repeated or wrongly reported requests when processes and
// the store fail, at the size of the second example deployment.
test("sahil recovers from restarts, losses and outages", async (t) => {
  await runDeployment({
    t,
    example: "sahil",
    seed: 22,
    outage: 60_000,
    kinds: [
      { team: "member-shops", class: "quote", runMs: 10 },
      { team: "packing-floor", class: "allocation", runMs: 150 },
      { team: "school-clubs", class: "quote", runMs: 40, idempotent: true },
      { team: "school-clubs", class: "restock-list", runMs: 700 },
    ],
  });
});
