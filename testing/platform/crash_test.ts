import { once } from "node:events";
import { setTimeout as sleep } from "node:timers/promises";
import { test } from "tap";
import type { Test } from "tap";
import { crashWorker, START_TIMEOUT, waitForEntries } from "./crash_scene.ts";
import { startPrograms } from "./mod.ts";
import type { ProgramProcess, Programs } from "./mod.ts";
import { waitUntil } from "./wait.ts";

/** Starts of a task that crashes its workers, at most; the rule's bound. */
const MAX_STARTS = 5;
/** Time in ms for crashes with outages and restarts between them. */
const GIVE_UP_TIMEOUT = 60_000;
/** Time in ms after which a task of the kind crashes its worker. */
const CRASH_DELAY = 10;
/** Same, for one that has settled before. */
const LATE_CRASH_DELAY = 1500;
const OUTAGE = 2500;

const DEADLY = "000000000000dead";
const INNOCENT = "0000000000001111";
const path = (id: string) => `/plans/${id}`;
const job = {
  spec: "text",
  steps: [{ count: 1, cpu: 1000, memMb: 9, gpu: 1 }],
};

interface CrashScene {
  programs: Programs;
  /** Number of starts of tasks that crash workers. */
  starts(): number;
  stateOf(id: string): Promise<string>;
}

/** Returns the workers that crash when `worker` starts the task. */
type CrashRule = (
  fields: { task: string; worker: string; starts: number },
) => string[];

/** A worker crashes when it starts a task of DEADLY. */
const crashUnderDeadly: CrashRule = ({ task, worker }) =>
  task.startsWith(DEADLY) ? [worker] : [];

/** Starts programs whose workers crash by the rule. */
async function start(
  t: Test,
  duration: number,
  crashes: CrashRule = crashUnderDeadly,
  { delay, agents }: { delay: number; agents: number } = {
    delay: CRASH_DELAY,
    agents: 3,
  },
): Promise<CrashScene> {
  let starts = 0;
  const scene = { stopped: false };
  const programs: Programs = await startPrograms({
    entries: 2,
    agents,
    duration: 0,
    observer: {
      accelerators: () => 1,
      endingAt: ({ startedAt }, now) =>
        now > startedAt + duration ? "done" : undefined,
      started: ({ worker, run }) => {
        const crashed = crashes({ task: run.task, worker, starts });
        if (crashed.length === 0) return;
        starts++;
        setTimeout(() => {
          if (scene.stopped) return;
          for (const each of crashed) crashWorker(programs, each);
        }, delay);
      },
      ended: () => {},
      acknowledged: () => {},
    },
  });
  t.teardown(() => {
    scene.stopped = true;
    return programs.stop();
  });
  await waitForEntries(programs);
  return {
    programs,
    starts: () => starts,
    stateOf: async (id) => {
      const { status, body } = await programs.call(
        programs.entries[0]!,
        "GET",
        path(id),
      );
      return status === 200 ? body : `status ${status}`;
    },
  };
}

async function submit(
  { programs }: CrashScene,
  id: string,
  body: object = job,
): Promise<void> {
  await waitUntil("the job is accepted", START_TIMEOUT, async () => {
    const { status } = await programs.call(
      programs.entries[0]!,
      "POST",
      path(id),
      body,
    );
    return status === 200;
  });
}

async function restart(process: ProgramProcess): Promise<void> {
  process.child.kill("SIGKILL");
  await once(process.child, "exit");
  process.start();
}

// Guards against one task that crashes worker after worker, a caller that does
// not hear why its job failed, and a job that fails because of its neighbour.
test("a task that crashes its workers is given up, and its neighbour is not", async (t) => {
  const scene = await start(t, 4000);
  await submit(scene, INNOCENT);
  await submit(scene, DEADLY);
  await waitUntil(
    "the deadly job fails",
    GIVE_UP_TIMEOUT,
    async () => (await scene.stateOf(DEADLY)).includes("failed"),
  );
  t.ok(scene.starts() <= MAX_STARTS, `${scene.starts()} starts`);
  t.match(JSON.parse(await scene.stateOf(DEADLY)), {
    state: "failed",
    failure: {
      code: "workers-crashed",
      task: `${DEADLY}.0.0.0`,
      hint: /Do not submit it unchanged/,
    },
  });
  await waitUntil(
    "the other job is done",
    GIVE_UP_TIMEOUT,
    async () => (await scene.stateOf(INNOCENT)).includes("completed"),
  );
});

// Guards against crashes that are forgotten because every process was killed
// and the store was away between them.
test("crashes outlive all processes and an outage of the store", async (t) => {
  const scene = await start(t, 1000);
  const { programs } = scene;
  await submit(scene, DEADLY);
  for (let round = 1; round <= MAX_STARTS; round++) {
    await waitUntil(
      `crash ${round}`,
      GIVE_UP_TIMEOUT,
      async () =>
        scene.starts() >= round ||
        (await scene.stateOf(DEADLY)).includes("failed"),
    );
    if (scene.starts() < round) break;
    programs.store.silent = true;
    // The agents have seen the crash, and the leader may have.
    await sleep(OUTAGE);
    const { entries, agents } = programs;
    const killed = round % 2 === 0 ? [...entries, ...agents] : entries;
    await Promise.all(killed.map(restart));
    programs.store.silent = false;
    await waitForEntries(programs);
  }
  await waitUntil(
    "the job fails",
    GIVE_UP_TIMEOUT,
    async () => (await scene.stateOf(DEADLY)).includes("failed"),
  );
  t.ok(scene.starts() <= MAX_STARTS, `${scene.starts()} starts`);
});

// Guards against tasks without a tie that are started without end, since each
// crash of one excuses the other's at the same moment.
test("jobs that crash their workers together at work are given up", async (t) => {
  const ids = [`${DEADLY}`, "000000000000deae"];
  const startsOf = new Map<string, number>();
  const crashes: CrashRule = ({ task, worker }) => {
    startsOf.set(task, (startsOf.get(task) ?? 0) + 1);
    return [worker];
  };
  const scene = await start(t, 60_000, crashes, {
    delay: LATE_CRASH_DELAY,
    agents: 5,
  });
  const steps = [{ count: 1, cpu: 1000, memMb: 9, gpu: 8 }];
  await Promise.all(ids.map((id) => submit(scene, id, { ...job, steps })));
  for (const id of ids) {
    await waitUntil(
      "the job fails",
      GIVE_UP_TIMEOUT,
      async () => (await scene.stateOf(id)).includes("failed"),
    );
  }
  for (const [task, starts] of startsOf) {
    t.ok(starts <= MAX_STARTS, `${starts} starts of ${task}`);
  }
});

// Guards against a job that fails because all workers crashed together, again
// and again, just after it had started.
test("a task whose workers crash with all others is not given up", async (t) => {
  const crashes = 3;
  const all = ["worker-0", "worker-1", "worker-2"];
  const scene = await start(
    t,
    1000,
    ({ starts }) => starts < crashes ? all : [],
  );
  await submit(scene, INNOCENT);
  await waitUntil(
    "the job is done",
    GIVE_UP_TIMEOUT,
    async () => /completed|failed/.test(await scene.stateOf(INNOCENT)),
  );
  t.equal(scene.starts(), crashes);
  t.match(await scene.stateOf(INNOCENT), /completed/);
});
