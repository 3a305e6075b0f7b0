// Soaks with one kind of fault. Each of these kinds alone has broken an
// invariant; a test that still fails is listed in KNOWN-RED.txt.
import { test } from "tap";
import { runSoak } from "./soak.ts";

const SEED = 1;
const EVENTS = 1500;

for (
  const fault of [
    "agent-restart",
    "entry-pause",
    "silence",
    "store",
    "operators",
  ]
) {
  // Guards against jobs that start or end too late after faults of one kind.
  test(`a soak with ${fault} alone breaks no invariant`, (t) => {
    t.comment(`seed ${SEED}, events ${EVENTS}`);
    const { violations } = runSoak({
      seed: SEED,
      events: EVENTS,
      faults: [fault],
    });
    t.same(violations, []);
    t.end();
  });
}
