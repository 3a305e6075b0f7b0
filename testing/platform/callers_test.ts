import { test } from "tap";
import { createRandom } from "@dragonflyledge/model";
import { drawJob } from "./soak/callers.ts";
import { WORKER_ACCELERATORS } from "./soak/ledger.ts";

// Guards against a soak that reports a job as lost which no fleet of its size
// can run.
test("the soak submits no gang that its workers can't hold", (t) => {
  for (const workers of [1, 3, 4]) {
    const random = createRandom(7);
    for (let number = 1; number <= 2000; number++) {
      const { steps } = drawJob({ random, number, workers });
      const tooLarge = steps.filter((step) =>
        step.gang &&
        step.count >
          workers * Math.floor(WORKER_ACCELERATORS / step.accelerators)
      );
      if (tooLarge.length > 0) t.fail(JSON.stringify({ workers, tooLarge }));
    }
  }
  t.pass();
  t.end();
});
