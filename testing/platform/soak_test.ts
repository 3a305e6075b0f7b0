import { test } from "tap";
import { LARGE_CONFIGURATION_FAULTS } from "./soak/configuration_faults.ts";
import { runSoak } from "./soak/soak.ts";

const SEED = 7;
const FAULT_TIME = 15_000;
/** Time in ms for start, faults, recovery and the jobs still open then. */
const TIMEOUT = 230_000;

// Guards against a guarantee of the protocol that does not hold under faults of
// processes, connections, workers and the store.
test("a short soak breaks no promise", { timeout: TIMEOUT }, async (t) => {
  const result = await runSoak({
    seed: SEED,
    time: FAULT_TIME,
    entries: 3,
    agents: 3,
    callers: 5,
  });
  t.comment(`seed ${SEED}, faults: ${result.faults.join(", ")}`);
  t.same(result.violations, []);
  t.ok(result.completed > 0, `${result.completed} jobs are done`);
});

// Guards against an old configuration at an entry that missed large ones, or was
// restarted among them, behind a slow link.
test(
  "an entry falls behind large configurations",
  { timeout: TIMEOUT },
  async (t) => {
    const faults = [
      ...Object.keys(LARGE_CONFIGURATION_FAULTS),
      "killEntry",
      "storeForgets",
    ];
    const result = await runSoak({
      seed: SEED,
      time: FAULT_TIME,
      entries: 3,
      agents: 2,
      callers: 2,
      faults,
    });
    t.comment(`seed ${SEED}, faults: ${result.faults.join(", ")}`);
    t.same(result.violations, []);
  },
);
