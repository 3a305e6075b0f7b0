import { test } from "tap";
import { createScheduler, runKey } from "@dragonflyledge/scheduler";
import type { RunName, SchedulerEvent } from "@dragonflyledge/scheduler";
import { createWorkerControl } from "./mod.ts";
import type { ControlEvent } from "./mod.ts";
import { announcement } from "./setup_for_tests.ts";

/** Step of simulated time, and time of a message or a call. */
const STEP = 10;
const SUBMIT_AT = 2900;
/** When the first worker crashes; it comes back at once under its id. */
const CRASH_AT = 3000;
const END = 12_000;
/** Start of the workers' clocks, before the simulation. */
const BORN = -50_000;
const DATE = 100_000;
const request = {
  id: "a",
  queue: "queue-1",
  team: "team",
  spec: "text",
  steps: [{
    count: 1,
    millicores: 1000,
    megabytes: 1000,
    accelerators: 8,
    estimate: 60_000,
    after: [],
    gang: false,
    sameRack: false,
    checkpointing: false,
    longRunning: false,
    label: "",
    dataRack: "",
    maxPerWorker: 0,
    image: "",
    fillsIdleCores: false,
  }],
  policy: { service: "service", priority: 1, maxAttempts: 3 },
  acceptedAt: SUBMIT_AT,
};

/**
 * Simulates a leader and two agents with workers. The first worker has room for
 * the task until it crashes, and the second one after that. Start calls to the
 * first take `callDelay`; starts get no answers. Returns all runs that began,
 * and when two were at work.
 */
function simulate(callDelay: number) {
  let now = 0;
  const due: { at: number; act: () => void }[] = [];
  const after = (delay: number, act: () => void) =>
    due.push({ at: now + delay, act });
  const began: string[] = [];
  const scheduler = createScheduler({
    times: {
      agentLoss: 8300,
      unlistedLoss: 8300,
      agentRetention: 60_000,
      retention: 240_000,
      planningInterval: 0,
    },
  });
  const times = { grant: 8000, longestLease: 10_000 };
  const sides = [8, 4].map((accelerators, index) => ({
    id: `i-${index}`,
    born: BORN,
    accelerators,
    sequence: 0,
    running: new Map<string, RunName>(),
    /** Runs that the worker refuses since it was told to stop them. */
    stopped: new Set<string>(),
    /** `sentAt` of the last report that reached the leader. */
    reportedAt: 0,
    control: createWorkerControl({ process: `agent-${index}`, times }),
  }));
  type Side = typeof sides[number];
  const clockOf = ({ born }: Side) => now - born;

  function tell(event: SchedulerEvent): void {
    for (const effect of scheduler.reduce(event)) {
      if (effect.kind === "store") {
        const { job } = effect;
        const { version } = scheduler.snapshot(job)!;
        after(STEP, () => tell({ kind: "stored", now, job, version }));
      } else if (effect.kind === "orders") {
        const side = sides.find(({ id }) => id === effect.agent)!;
        const answersReport = side.reportedAt;
        const orders = {
          ...{ kind: "orders" as const, epoch: 7, answersReport },
          ...effect.orders,
        };
        after(STEP, () => pass(side, { kind: "orders", now, orders }));
      }
    }
  }

  function pass(side: Side, event: ControlEvent): void {
    for (const effect of side.control.reduce(event)) {
      if (effect.kind === "report") {
        const { report } = effect;
        after(STEP, () => {
          side.reportedAt = report.sentAt;
          tell({ kind: "report", now, date: now, agent: side.id, report });
        });
      } else if (effect.kind === "hold") {
        const sentAt = now;
        after(STEP, () => answerHold(side, effect.worker, sentAt));
      } else if (effect.kind === "start") {
        after(side === sides[0] ? callDelay : STEP, () => {
          // A worker carries out calls to its id within the lease.
          if (effect.until <= clockOf(side)) return;
          if (side.stopped.has(runKey(effect.order))) return;
          began.push(`${runKey(effect.order)} on ${side.id}`);
          side.running.set(runKey(effect.order), effect.order);
        });
      } else if (effect.kind === "stop") {
        const { worker } = effect;
        const run = runKey(effect.run);
        after(STEP, () => {
          side.running.delete(run);
          side.stopped.add(run);
          pass(side, { kind: "stopAnswered", now, worker, run, stopped: true });
        });
      }
    }
  }

  function answerHold(side: Side, worker: string, sentAt: number): void {
    const running = [...side.running.values()]
      .map(({ task, run }) => ({ task, run, checkpoint: "", percent: 0 }));
    const lists = { running, ended: [], allEnds: true };
    const born = DATE + side.born;
    const clock = clockOf(side);
    pass(side, { kind: "held", now, worker, sentAt, clock, born, ...lists });
  }

  function announce(side: Side): void {
    const { id, accelerators } = side;
    const born = DATE + side.born;
    const sequence = ++side.sequence;
    const fields = { id, born, accelerators, clock: clockOf(side), sequence };
    pass(side, { kind: "announced", now, announcement: announcement(fields) });
  }

  let bothSince: number | undefined;
  for (; now < END; now += STEP) {
    if (now === SUBMIT_AT) tell({ kind: "job", now, request });
    if (now === CRASH_AT) {
      Object.assign(sides[0]!, { born: now, accelerators: 4 });
      sides[0]!.running.clear();
      sides[0]!.stopped.clear();
      sides[1]!.accelerators = 8;
    }
    if (now % 200 === 0) {
      sides.forEach(announce);
      for (const side of sides) pass(side, { kind: "tick", now });
      tell({ kind: "tick", now, date: now });
    }
    for (const each of due.filter(({ at }) => at <= now)) {
      due.splice(due.indexOf(each), 1);
      each.act();
    }
    if (sides.every(({ running }) => running.size > 0)) bothSince ??= now;
  }
  return { began, bothSince };
}

// Guards against a task that runs twice: its worker crashes and comes back under
// its id while a start call is under way, and the new life carries the call out.
for (const callDelay of [400, 3000]) {
  test(`a start call of ${callDelay} ms outlives no worker`, (t) => {
    const { began, bothSince } = simulate(callDelay);
    t.ok(began.includes("a.0.0.0#2 on i-1"), "the task started elsewhere");
    t.equal(bothSince, undefined, `two runs of one task: ${began.join(", ")}`);
    t.end();
  });
}
