import { setTimeout as sleep } from "node:timers/promises";
import { test } from "tap";
import type { Test } from "tap";
import { startPrograms } from "./mod.ts";
import type { Programs } from "./mod.ts";
import { waitUntil } from "./wait.ts";

const START_TIMEOUT = 20_000;
/** Time in which jobs that can start have to. */
const JOB_TIMEOUT = 5000;
/** Age of a count, and the time in which jobs become visible. */
const PENDING_AGE = 2000;
const WATCH_TIME = 3000;
const POLL_INTERVAL = 100;
const JOBS = 4;

const idOf = (index: number) => index.toString(16).padStart(16, "0");

/** Starts a fleet whose agents are all connected to the leader. */
async function startFleet(t: Test, agents: number): Promise<Programs> {
  const programs = await startPrograms({ entries: 2, agents, duration: 8000 });
  t.teardown(() => programs.stop());
  await waitUntil(
    "every agent has a leader",
    START_TIMEOUT,
    () =>
      Promise.resolve(
        programs.agents.every(({ lines }) =>
          lines.some((line) => line.includes("New leader."))
        ),
      ),
  );
  for (const entry of programs.entries) {
    await waitUntil(`${entry.name} answers`, START_TIMEOUT, async () => {
      return (await programs.call(entry, "GET", "/plans/")).status === 200;
    });
  }
  return programs;
}

async function submitJobs({ call, entries }: Programs): Promise<void> {
  const job = { spec: "", steps: [{ cpu: 1000, memMb: 1, gpu: 1 }] };
  for (let index = 1; index <= JOBS; index++) {
    await call(entries[0]!, "POST", `/plans/${idOf(index)}`, job);
  }
}

async function countPending({ call, entries }: Programs): Promise<number[]> {
  return await Promise.all(entries.map(async (entry) => {
    const { body } = await call(entry, "GET", "/plans/");
    return JSON.parse(body).pending as number;
  }));
}

const countStarts = ({ workers }: Programs) =>
  workers.reduce((sum, { started }) => sum + started.length, 0);

// Guards against callers who are told that no job waits, while the orders to
// start them do not arrive.
test("jobs are pending until a worker has started them", async (t) => {
  const programs = await startFleet(t, 2);
  for (const { relays } of programs.agents) relays.links.silence("to-target");
  await submitJobs(programs);
  await sleep(PENDING_AGE);
  t.equal(countStarts(programs), 0, "no order arrives");
  t.same(await countPending(programs), [JOBS, JOBS]);
  const { body } = await programs.call(
    programs.entries[1]!,
    "GET",
    `/plans/${idOf(1)}`,
  );
  t.match(body, "queued");
  for (const { relays } of programs.agents) relays.links.cut();
  await waitUntil(
    "all jobs have started",
    START_TIMEOUT,
    () => Promise.resolve(countStarts(programs) === JOBS),
  );
  await sleep(PENDING_AGE);
  t.same(await countPending(programs), [0, 0]);
});

// Guards against jobs that wait for 8 s on a machine that has gone, and against
// counts that leave them out meanwhile.
test("jobs start elsewhere when a machine has gone", async (t) => {
  const programs = await startFleet(t, 3);
  programs.agents.at(-1)!.child.kill("SIGKILL");
  await submitJobs(programs);
  await waitUntil(
    "all jobs have started",
    JOB_TIMEOUT,
    () => Promise.resolve(countStarts(programs) === JOBS),
  );
  const end = Date.now() + WATCH_TIME;
  let counts = await countPending(programs);
  while (Date.now() < end && counts.some((count) => count > 0)) {
    await sleep(POLL_INTERVAL);
    counts = await countPending(programs);
  }
  t.same(counts, [0, 0]);
});
