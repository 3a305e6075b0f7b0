/**
 * A worker that starts again under its id while a call to its former
 * incarnation waits, and whose agent is then cut off from the leader, for tests
 * of tasks that run twice.
 *
 * @module
 */

import { once } from "node:events";
import { performance } from "node:perf_hooks";
import { setTimeout as sleep } from "node:timers/promises";
import type { Test } from "tap";
import { SLOWEST_CLOCK_RATE, startPrograms } from "./mod.ts";
import type { ProgramProcess, WaitingCall } from "./mod.ts";
import { find } from "./moved_gang.ts";
import { waitUntil } from "./wait.ts";

/** Time in ms in which programs start, or a lost run starts elsewhere. */
const STEP_TIMEOUT = 30_000;
/**
 * Least time in ms from the worker's return until it carries out calls to its
 * former incarnation.
 */
const MIN_CALL_DELAY = 1000;
/** Accelerators of a worker; the task takes a whole worker. */
const WHOLE = 8;
const ID = "000000000000cafe";
const PATH = `/plans/${ID}`;
const TASK = `${ID}.0.0.0`;
const JOB = {
  spec: "",
  steps: [{ count: 1, cpu: 1000, memMb: 1, gpu: WHOLE }],
};
/** Log lines that are shown when a test fails. */
const SHOWN =
  /lost|placed|Start |Grant |incarnation|Leadership|Started|answer|any more/;

/** A time for which two runs of the task were at work, in ms. */
interface Overlap {
  runs: string;
  from: number;
  length?: number;
}

/** Records when two runs of the task are at work at the same time. */
function watchRuns() {
  const present = new Map<number, string>();
  const overlaps: Overlap[] = [];
  return {
    overlaps,
    observer: {
      accelerators: () => WHOLE,
      // Runs go on until they are stopped or lapse.
      endingAt: () => undefined,
      started: (
        { worker, run }: { worker: string; run: { run: number } },
      ) => {
        present.set(run.run, worker);
        if (present.size < 2) return;
        const runs = [...present].map((each) => each.join(" on ")).join(", ");
        overlaps.push({ runs, from: performance.now() });
      },
      ended: ({ run }: { run: { run: number } }) => {
        present.delete(run.run);
        const last = overlaps.at(-1);
        if (!last || last.length !== undefined) return;
        last.length = Math.round(performance.now() - last.from);
      },
      acknowledged: () => {},
    },
  };
}

/** Whether the call extends a lease. */
const extendsLease = ({ path, body }: WaitingCall) =>
  (path === "/hold" || path === "/run-start") && body.untilMs !== undefined;

/** Polls until the condition holds; throws if it does not in time. */
function until(what: string, condition: () => boolean): Promise<void> {
  return waitUntil(what, STEP_TIMEOUT, () => Promise.resolve(condition()));
}

/**
 * Starts two entries and two agents. Only the first worker, whose clock is
 * slow, has room for the task until `cutOff`.
 */
export async function startReturnedWorker(t: Test) {
  const { overlaps, observer } = watchRuns();
  const programs = await startPrograms({
    entries: 2,
    agents: 2,
    duration: 0,
    clockRates: [SLOWEST_CLOCK_RATE, 1],
    observer,
  });
  t.teardown(() => programs.stop());
  const { entries, agents, store } = programs;
  const agent = agents[0]!;
  const [worker, other] = programs.workers as [
    typeof programs.workers[0],
    typeof programs.workers[0],
  ];
  t.teardown(() => {
    if (t.passing()) return;
    for (const { name, lines } of [...entries, agent]) {
      const shown = lines.filter((line) => SHOWN.test(line));
      for (const line of shown) t.comment(`${name} ${line}`);
    }
  });
  const findLeader = (): ProgramProcess | undefined => {
    const name = store.get("dragonflyledge/out/leader");
    return entries.find((entry) => entry.name === name);
  };
  other.resize(WHOLE / 2);
  await until(
    "every agent has a leader",
    () => agents.every(({ lines }) => find(lines, "Grant begun.").length > 0),
  );
  await waitUntil("every entry answers", STEP_TIMEOUT, async () => {
    for (const entry of entries) {
      if ((await programs.call(entry, "GET", "/plans/")).status !== 200) {
        return false;
      }
    }
    return true;
  });
  await until(
    "the lease of the first worker was extended",
    () => worker.hasLease(Infinity),
  );
  let returnedAt = 0;
  /** Number of the run at work on the first worker when it is cut off. */
  let cutOffRun = 0;
  let deliver = () => {};
  const delivery = new Promise<void>((resolve) => deliver = resolve);
  const note = (what: string) =>
    t.comment(`${Math.round(performance.now() - returnedAt)} ms: ${what}`);

  return {
    agent,
    /** Notes the time since the worker's return. */
    note,
    /**
     * Hands the task in while the first worker does not answer. The worker
     * starts again once a call waits that extends its lease. Returns when the
     * task runs there.
     */
    returnWorker: async () => {
      worker.halt();
      const { status } = await programs.call(
        findLeader() ?? entries[0]!,
        "POST",
        PATH,
        JOB,
      );
      t.equal(status, 200);
      await until(
        "a call that extends the lease waits",
        () => worker.waitingCalls.some(extendsLease),
      );
      returnedAt = performance.now();
      worker.restart({ callsAfter: delivery });
      await until("the task runs", () => worker.listRuns().length === 1);
      note("the task runs on the worker that returned");
    },
    /** Lets the worker carry out what its former incarnation was told. */
    deliverCalls: async () => {
      const earliest = returnedAt + MIN_CALL_DELAY;
      await sleep(Math.max(0, earliest - performance.now()));
      deliver();
      await until(
        "a call to the former incarnation is carried out",
        () => worker.lateCalls.some(extendsLease),
      );
      note("a call to the former incarnation was carried out");
    },
    /** Kills the agent, starts it again and waits until it has a leader. */
    restartAgent: async () => {
      const grants = find(agent.lines, "Grant begun.").length;
      await kill(agent);
      agent.start();
      await until(
        "the agent has a leader again",
        () => find(agent.lines, "Grant begun.").length > grants,
      );
      note("the agent was started again and has a leader");
    },
    /** Kills the leader, which does not come back. */
    killLeader: async () => {
      const leader = findLeader();
      t.ok(leader, "an entry leads");
      if (leader) await kill(leader);
      note("the leader was killed");
    },
    /** Waits until the other entry leads. */
    awaitNewLeader: async () => {
      const live = entries.find(({ child }) => child.signalCode === null)!;
      await until(
        "the other entry leads",
        () => find(live.lines, "Leadership won.").length > 0,
      );
      note("the other entry leads");
    },
    /**
     * Cuts the agent off from all leaders while the task runs on its worker,
     * and makes room on the other worker.
     */
    cutOff: async () => {
      await until("the task runs", () => worker.listRuns().length === 1);
      cutOffRun = worker.listRuns()[0]!.run;
      other.resize(WHOLE);
      agent.relays.links.silence();
      agent.relays.links.mute(true);
      note("the agent is cut off");
    },
    /** Checks that the next run starts elsewhere, and not beside this one. */
    check: async () => {
      await until("the task starts elsewhere", () => other.started.length > 0);
      note("the next run starts elsewhere");
      await until("the run has ended", () => worker.listRuns().length === 0);
      note("the run that was cut off has ended");
      const late = worker.lateCalls.filter(extendsLease);
      t.comment(`statuses of late calls: ${late.map(({ status }) => status)}`);
      const run = `"run":${cutOffRun}`;
      const lines = entries.flatMap((entry) => entry.lines);
      const lost = find(lines, "Run lost.", TASK, run, "agent lost");
      t.equal(lost.length, 1, "the leader gave the agent up");
      t.same(other.started, [`${TASK}#${cutOffRun + 1}`]);
      t.same(overlaps, [], "no task has two runs at once");
    },
  };
}

async function kill({ child }: ProgramProcess): Promise<void> {
  const ended = once(child, "exit");
  child.kill("SIGKILL");
  await ended;
}
