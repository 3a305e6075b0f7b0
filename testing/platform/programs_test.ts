import { once } from "node:events";
import { setTimeout as sleep } from "node:timers/promises";
import { test } from "tap";
import type { Test } from "tap";
import { BORROWER_KEY, startPrograms } from "./mod.ts";
import type { Programs } from "./mod.ts";
import { waitUntil } from "./wait.ts";

/** Guaranteed bound on recovery after a fault, in milliseconds. */
const RECOVERY_BOUND = 12_000;
const START_TIMEOUT = 20_000;

const jobId = (number: number) => number.toString(16).padStart(16, "0");
const path = (number: number) => `/plans/${jobId(number)}`;
const job = {
  spec: "text",
  steps: [{ count: 3, cpu: 1000, memMb: 10, gpu: 1 }],
};

async function start(t: Test, duration: number): Promise<Programs> {
  const programs = await startPrograms({ entries: 2, agents: 2, duration });
  t.teardown(() => programs.stop());
  await waitUntil("entries answer", START_TIMEOUT, async () => {
    for (const entry of programs.entries) {
      const { status } = await programs.call(entry, "GET", "/plans/");
      if (status !== 200) return false;
    }
    return true;
  });
  return programs;
}

async function stateAt(programs: Programs, entry: number, number: number) {
  const process = programs.entries[entry]!;
  const { status, body } = await programs.call(process, "GET", path(number));
  return status === 200 ? JSON.parse(body).state : status;
}

function checkTasksDoneOnce(t: Test, programs: Programs, tasks: number): void {
  const done = programs.workers.flatMap((worker) => worker.done);
  t.equal(done.length, tasks, "each task is done");
  t.equal(new Set(done).size, tasks, "and only once");
}

// Guards against a job that runs twice when it is submitted at two entries, or
// that one of them does not know.
test("a job that is submitted twice runs once, and every entry knows it", async (t) => {
  const programs = await start(t, 300);
  const { entries, call } = programs;
  t.equal((await call(entries[0]!, "POST", path(1), job)).status, 200);
  t.equal((await call(entries[1]!, "POST", path(1), job)).status, 200);
  await waitUntil("the job is done", RECOVERY_BOUND, async () => {
    const states = [
      await stateAt(programs, 0, 1),
      await stateAt(programs, 1, 1),
    ];
    return states.every((state) => state === "completed");
  });
  checkTasksDoneOnce(t, programs, 3);
  t.equal(await stateAt(programs, 0, 2), 410, "another job is unknown");
});

// Guards against tasks that are lost or run twice when the leader dies.
test("work goes on when the leader is killed", async (t) => {
  // Other entries show a job as running up to two seconds after its start.
  const programs = await start(t, 4000);
  const { entries, store, call } = programs;
  await waitUntil(
    "a leader",
    START_TIMEOUT,
    async () =>
      await Promise.resolve(
        store.get("dragonflyledge/out/leader") !== undefined,
      ),
  );
  const name = store.get("dragonflyledge/out/leader")!;
  const leader = entries.findIndex((entry) => entry.name === name);
  const other = 1 - leader;
  t.equal((await call(entries[other]!, "POST", path(1), job)).status, 200);
  await waitUntil(
    "it runs",
    RECOVERY_BOUND,
    async () => await stateAt(programs, other, 1) === "running",
  );
  entries[leader]!.child.kill("SIGKILL");
  await once(entries[leader]!.child, "exit");
  t.equal((await call(entries[other]!, "POST", path(2), job)).status, 200);
  await waitUntil(
    "both are done",
    RECOVERY_BOUND,
    async () =>
      await stateAt(programs, other, 1) === "completed" &&
      await stateAt(programs, other, 2) === "completed",
  );
  checkTasksDoneOnce(t, programs, 6);
  const started = programs.workers.flatMap((worker) => worker.started);
  t.equal(started.length, 6, "running tasks were left alone");
});

// Guards against tasks that end during a store outage, and against jobs that
// are refused but accepted all the same.
test("running tasks survive a store outage, and a refusal holds true", async (t) => {
  const programs = await start(t, 4000);
  const { entries, store, call } = programs;
  t.equal((await call(entries[0]!, "POST", path(1), job)).status, 200);
  await waitUntil(
    "it runs",
    RECOVERY_BOUND,
    async () => await stateAt(programs, 0, 1) === "running",
  );
  store.silent = true;
  await sleep(2500);
  const answer = await call(entries[0]!, "POST", path(2), job);
  t.equal(answer.status, 503, "the entry has noticed the outage");
  await sleep(2500);
  store.silent = false;
  await waitUntil(
    "the first is done",
    RECOVERY_BOUND,
    async () => await stateAt(programs, 0, 1) === "completed",
  );
  checkTasksDoneOnce(t, programs, 3);
  t.equal(await stateAt(programs, 0, 2), 410, "the refused job is unknown");
});

// Guards against a stop of an agent or entry that ends running tasks.
test("running tasks survive a restart of agents and entries", async (t) => {
  const programs = await start(t, 2500);
  const { entries, agents, call } = programs;
  t.equal((await call(entries[0]!, "POST", path(1), job)).status, 200);
  await waitUntil(
    "it runs",
    RECOVERY_BOUND,
    async () => await stateAt(programs, 0, 1) === "running",
  );
  for (const process of [...agents, entries[1]!]) {
    process.child.kill("SIGTERM");
    const [code] = await once(process.child, "exit");
    t.equal(code, 0, `${process.name} ends by itself`);
    process.start();
  }
  await waitUntil(
    "it is done",
    RECOVERY_BOUND,
    async () => await stateAt(programs, 0, 1) === "completed",
  );
  checkTasksDoneOnce(t, programs, 3);
});

// Guards against an owner that waits while the urgent jobs of a team without a
// guarantee hold all workers.
test("an owner's urgent job stops those of a team without a guarantee", async (t) => {
  const programs = await start(t, 10 * RECOVERY_BOUND);
  const { entries, call } = programs;
  const whole = { cpu: 1000, memMb: 10, gpu: 8, gang: true };
  const startedBy = (number: number) =>
    programs.workers.flatMap((worker) => worker.started)
      .filter((task) => task.startsWith(jobId(number))).length;
  const submit = async (number: number, count: number, key?: string) => {
    const body = { spec: "text", steps: [{ ...whole, count }] };
    const answer = await call(entries[0]!, "POST", path(number), body, key);
    t.equal(answer.status, 200);
    await waitUntil(
      `all tasks of job ${number} start`,
      RECOVERY_BOUND,
      () => Promise.resolve(startedBy(number) >= count),
    );
  };
  t.teardown(() => {
    if (t.passing()) return;
    for (const line of entries.flatMap((entry) => entry.lines)) {
      if (line.includes(jobId(1)) || line.includes("eader")) t.comment(line);
    }
  });
  await submit(1, 2, BORROWER_KEY);
  await submit(2, 1);
  await waitUntil(
    "the owner's job is shown as running",
    RECOVERY_BOUND,
    async () => await stateAt(programs, 0, 2) === "running",
  );
});
