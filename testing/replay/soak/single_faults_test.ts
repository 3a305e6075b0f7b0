// Runs with one kind of fault alone that break an invariant at present. They
// are listed in KNOWN-RED.txt; each test passes once its fault is mended.
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
  // Guards against owners and jobs that wait for long after a single fault.
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
