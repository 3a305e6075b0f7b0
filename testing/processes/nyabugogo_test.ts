import { test } from "tap";
import { runDeployment } from "./deployment_scenario.ts";

// Guards against lost, repeated or wrongly reported requests when processes and
// the store fail, at the size of the first example deployment.
test("nyabugogo recovers from restarts, losses and outages", async (t) => {
  await runDeployment({
    t,
    example: "nyabugogo",
    seed: 21,
    outage: 60_000,
    kinds: [
      { team: "fry-floor", class: "shift-plan", runMs: 20 },
      { team: "dispatch", class: "shift-plan", runMs: 80, idempotent: true },
      { team: "quality-lab", class: "quality-check", runMs: 200 },
      {
        team: "quality-lab",
        class: "image-batch",
        runMs: 900,
        idempotent: true,
      },
    ],
  });
});
