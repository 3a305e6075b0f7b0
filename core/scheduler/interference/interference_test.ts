import { test } from "tap";
import { createInterference } from "./interference.ts";
import type { ListedRun } from "./followed_workers.ts";
import { simulate } from "./simulation_for_tests.ts";
import type { SimulationFields } from "./simulation_for_tests.ts";

const SEEDS = [1, 2, 3, 4, 5, 6];

/** A fleet with rates that differ, noise, and workers that stand still. */
const FLEET: Omit<SimulationFields, "seed"> = {
  workers: 40,
  slots: 8,
  kinds: 6,
  duration: 60_000,
  slowdown: () => 0,
  rateDeviation: 0.3,
  taskDeviation: 0.25,
  transients: 0.01,
  listJitter: 100,
};

const KNOWN: Record<string, number> = {
  "k0 k1": 0.3,
  "k1 k0": 0.3,
  "k2 k3": 0.25,
  "k4 k4": 0.25,
};

// Guards against pairs that are missed, and against others that are taken for
// them because they ran on slow workers or beside the same neighbours.
test("the pairs that slow each other down are found, and no others", (t) => {
  for (const seed of SEEDS) {
    const { changes, pairs } = simulate({
      ...FLEET,
      seed,
      duration: 90_000,
      slowdown: (kind, beside) => KNOWN[`${kind} ${beside}`] ?? 0,
    });
    t.same(pairs, Object.keys(KNOWN).sort(), `seed ${seed}`);
    for (const { kind, beside, slowdown } of changes) {
      const off = Math.abs(slowdown - KNOWN[`${kind} ${beside}`]!);
      t.ok(off < 0.1, `seed ${seed}: ${kind} ${beside} by ${slowdown}`);
    }
  }
  t.end();
});

// Guards against pairs that are made of noise, of slow workers that run mostly
// one kind, of transient slow-downs, or of the slow start of a task.
test("no pair is found on a fleet without interference", (t) => {
  const fleets: Record<string, Partial<SimulationFields>> = {
    mixed: {},
    clustered: { clustered: true, transients: 0.02 },
    slowStart: { slowStart: 0.4, workers: 11 },
    manyKinds: { kinds: 24 },
  };
  for (const [name, fields] of Object.entries(fleets)) {
    for (const seed of SEEDS) {
      const { changes } = simulate({ ...FLEET, ...fields, seed });
      t.same(changes, [], `${name}, seed ${seed}`);
    }
  }
  t.end();
});

// Guards against an estimate that is kept for good when it is wrong, or when
// the tasks of an image behave differently later.
test("a pair that does no harm any more is dropped", (t) => {
  const { changes, pairs } = simulate({
    ...FLEET,
    seed: 1,
    duration: 260_000,
    slowdown: (kind, beside, now) =>
      now < 60_000 && kind === "k0" && beside === "k1" ? 0.25 : 0,
  });
  t.match(changes[0], { kind: "k0", beside: "k1", apart: true });
  t.same(pairs, []);
  t.end();
});

/** A run of the list of a worker. */
function listed(key: string, kind: string, percent: number): ListedRun {
  const step = key;
  return { key, kind, step, percent, measurable: true, comparable: true };
}

// Guards against agents that are not heard any more after their clock began
// anew, and against runs that are left out because they never end.
test("workers whose clocks go back are learnt from", (t) => {
  const interference = createInterference();
  const changes = [];
  for (let run = 0; run < 36; run++) {
    const agent = `agent-${Math.floor(run / 3)}`;
    let percent = 1;
    for (let second = 0; second < 10; second++) {
      const disturbed = second >= 5;
      const beside = disturbed ? [listed(`b${run}`, "b", 50)] : [];
      percent += disturbed ? 4 : 8;
      interference.observe({
        agent,
        worker: agent,
        at: second * 1000,
        now: (10 * run + second) * 1000,
        runs: [listed(`a${run}`, "a", percent), ...beside],
        rate: () => undefined,
      });
    }
    changes.push(...interference.refresh((10 * run + 9) * 1000));
  }
  t.match(changes, [{ kind: "a", beside: "b", apart: true }]);
  t.end();
});
