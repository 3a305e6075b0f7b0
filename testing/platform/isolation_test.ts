import { setTimeout as sleep } from "node:timers/promises";
import { test } from "tap";
import { crashWorker, START_TIMEOUT, waitForEntries } from "./crash_scene.ts";
import { startPrograms } from "./mod.ts";
import type { Programs } from "./mod.ts";
import { waitUntil } from "./wait.ts";

const AGENTS = 3;
/** Time in ms for which the long tasks work before each crash. */
const CRASH_DELAY = 2000;
/** Time in ms in which they begin again. */
const RESTART_TIMEOUT = 20_000;
/** Time in ms in which a job begins that has room; the rule's bound. */
const BEGIN_LIMIT = 3000;
const LONG = "0000000000007000";
const LATER = ["0000000000008000", "0000000000008001"];

function jobOf(count: number) {
  return { spec: "text", steps: [{ count, cpu: 1000, memMb: 9, gpu: 1 }] };
}

/** Number of runs of the job on each worker. */
function spread({ workers }: Programs, job: string): number[] {
  return workers.map((worker) =>
    worker.listRuns().filter(({ task }) => task.startsWith(job)).length
  );
}

function countRuns(programs: Programs, job: string): number {
  return spread(programs, job).reduce((sum, runs) => sum + runs, 0);
}

// Guards against long tasks that keep later jobs off all workers, since each is
// suspected of crashes and has a worker of its own.
test("suspects of crashes that work on let later jobs begin", async (t) => {
  const programs = await startPrograms({
    entries: 2,
    agents: AGENTS,
    duration: 0,
    observer: {
      accelerators: () => 1,
      endingAt: () => undefined,
      started: () => {},
      ended: () => {},
      acknowledged: () => {},
    },
  });
  t.teardown(() => programs.stop());
  await waitForEntries(programs);
  const submit = (id: string, count: number) =>
    waitUntil("the job is accepted", START_TIMEOUT, async () => {
      const [entry] = programs.entries;
      const path = `/batch/${id}`;
      const answer = await programs.call(entry!, "POST", path, jobOf(count));
      return answer.status === 200;
    });
  const runs = (job: string, count: number) =>
    Promise.resolve(countRuns(programs, job) === count);
  const allRun = () => runs(LONG, AGENTS);
  await submit(LONG, AGENTS);
  for (let crash = 1; crash <= 2; crash++) {
    await waitUntil("the long tasks run", RESTART_TIMEOUT, allRun);
    await sleep(CRASH_DELAY);
    const counts = spread(programs, LONG);
    const fullest = counts.indexOf(Math.max(...counts));
    crashWorker(programs, `worker-${fullest}`);
  }
  await waitUntil("the long tasks run again", RESTART_TIMEOUT, allRun);
  t.same(spread(programs, LONG), [1, 1, 1], "they are kept apart");
  for (const id of LATER) {
    await submit(id, 1);
    await waitUntil(
      "the later job begins",
      BEGIN_LIMIT,
      () => runs(id, 1),
    );
  }
});
