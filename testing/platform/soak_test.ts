import { test } from "tap";
import { soak } from "./soak/soak.ts";

const SEED = 7;
const TIME = 15_000;
/** Start, faults, recovery, and what is left to do then. */
const LIMIT = 230_000;

// Guards against any promise of the protocol that breaks under faults of
// processes, connections and the store.
test("a short soak breaks no promise", { timeout: LIMIT }, async (t) => {
  const result = await soak({
    seed: SEED,
    time: TIME,
    entries: 3,
    agents: 3,
    callers: 5,
  });
  t.comment(`seed ${SEED}, faults: ${result.faults.join(", ")}`);
  t.same(result.violations, []);
  t.ok(result.completed > 0, `${result.completed} jobs are done`);
});
