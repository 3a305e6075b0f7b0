import { test } from "tap";
import { FOUND_CASES } from "./found_cases.ts";
import { runPlan } from "./run_plan.ts";

// Guards against faults that were found before: each plan broke a guarantee.
for (const { name, plan } of FOUND_CASES) {
  test(name, (t) => {
    t.equal(runPlan(plan).violation, undefined);
    t.end();
  });
}
