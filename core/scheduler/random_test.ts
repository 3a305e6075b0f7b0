import { test } from "tap";
import { createRandom } from "@dragonflyledge/model";
import { createFleet, request, step } from "./fleet_for_tests.ts";
import type { RunEnding } from "./messages.ts";

const SEEDS = 24;
const EVENTS = 300;
const WORKERS = 5;
const ACCELERATORS = 8;
const ENDINGS: RunEnding[] = ["done", "done", "done", "failed", "lapsed"];

/** Applies random events from a seed, and returns the violations found. */
function runSeed(seed: number): string[] {
  const random = createRandom(seed);
  const pick = (count: number) => Math.floor(random() * count);
  const fleet = createFleet({ workers: WORKERS });
  const done = new Set<string>();
  const violations: string[] = [];
  let jobs = 0;

  function submit(): void {
    const gang = random() < 0.4;
    const count = 1 + pick(gang ? 3 : 6);
    const first = step({
      count,
      gang,
      accelerators: [1, 2, 4, 8][pick(4)],
      sameRack: gang && random() < 0.5,
      checkpointing: random() < 0.5,
      estimate: 2000,
    });
    const steps = random() < 0.3 ? [first, step({ after: [0] })] : [first];
    const id = `job${jobs++}`;
    fleet.submit(request({ id, steps, priority: pick(3), maxAttempts: 2 }));
  }

  function endOne(): void {
    const index = pick(WORKERS);
    const running = fleet.running(index);
    const stops = new Set(fleet.stops(index).map((each) => each.task));
    if (running.length === 0) return;
    const position = pick(running.length);
    const { task } = running[position]!;
    const stopped = stops.has(task);
    const ending = stopped ? "stopped" : ENDINGS[pick(ENDINGS.length)]!;
    if (ending === "done") done.add(task);
    fleet.end(index, position, ending);
  }

  function check(): void {
    const seen = new Map<string, number>();
    for (let index = 0; index < WORKERS; index++) {
      const present = new Set([
        ...fleet.running(index).map(({ task, run }) => `${task}#${run}`),
        ...fleet.starts(index).map(({ task, run }) => `${task}#${run}`),
      ]);
      let used = 0;
      for (const run of present) {
        const task = run.split("#")[0]!;
        used += fleet.acceleratorsOf(task);
        if (seen.has(task)) violations.push(`${task} runs twice`);
        seen.set(task, index);
      }
      if (used > ACCELERATORS) violations.push(`worker ${index} has ${used}`);
      for (const { task } of fleet.starts(index)) {
        if (done.has(task)) violations.push(`${task} starts after its end`);
      }
    }
  }

  for (let event = 0; event < EVENTS; event++) {
    const kind = random();
    if (kind < 0.2) submit();
    else if (kind < 0.45) fleet.runStarts();
    else if (kind < 0.85) endOne();
    else if (kind < 0.9) fleet.cancel(`job${pick(jobs + 1)}`);
    else fleet.advance(500 * (1 + pick(6)));
    check();
  }
  return violations;
}

// Guards against rare sequences of events in which a task runs twice, a worker
// is overcommitted, or a task that is done starts again.
test("random events never run a task twice or overcommit a worker", (t) => {
  for (let seed = 1; seed <= SEEDS; seed++) {
    t.same(runSeed(seed), [], `seed ${seed}`);
  }
  t.end();
});
