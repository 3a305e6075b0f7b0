/**
 * A scheduler with simulated agents and workers, for tests.
 *
 * @module
 */

import { createScheduler } from "./reducer.ts";
import { parseTask } from "./job.ts";
import { runKey } from "./messages.ts";
import type { JobProgress, JobRequest, Step } from "./job.ts";
import type {
  AgentReport,
  EndedTask,
  RefusedStart,
  RunEnding,
  RunName,
  RunningTask,
  WorkerCrash,
  WorkerSilence,
} from "./messages.ts";
import type { SchedulerEffect } from "./effects.ts";
import { SETTLE_TIME } from "./place/suspects.ts";

/** Time without a report after which an agent counts as lost. */
const AGENT_LOSS = 8300;
const AGENT_RETENTION = 60_000;
const WORKERS_PER_RACK = 3;
const REPORT_INTERVAL = 500;

/** A crash of a worker, and when it happened. */
interface FakeCrash extends WorkerCrash {
  at: number;
}

interface FakeWorker {
  name: string;
  /** Number of the present incarnation, which is also when it was born. */
  incarnation: number;
  crashes: FakeCrash[];
  /** Since when the agent gets no answers from the worker. */
  unansweredSince?: number;
  accelerators: number;
  failureDomain?: string;
  warmupLeft: number;
  /** Most accelerators that the incarnation has announced. */
  mostAccelerators: number;
  running: RunningTask[];
  /** When each run was first reported as running, by `runKey`. */
  listedAt: Map<string, number>;
  ended: EndedTask[];
  /** Number of ends that it lists at a time. */
  endsPerList: number;
  /** Runs that its agent reports never to run. */
  absent: RunName[];
  /** Starts that its agent reports as refused. */
  refused: RefusedStart[];
  /** Number of the next ended run. */
  nextEnd: number;
  /** Whether its agent sends no reports on its own. */
  silent: boolean;
  /** Time that the worker has left, as it announced it. */
  remaining?: number;
  /** Whether only its heartbeats reach its agent. */
  mute: boolean;
  /**
   * Whether its agent reports no worker, and if so whether it also reports
   * that none can hold a lease.
   */
  away: "no" | "unknown" | "vacant";
  orders?: Extract<SchedulerEffect, { kind: "orders" }>["orders"];
}

/** Creates a step of one task on one accelerator; `fields` override this. */
export function step(fields: Partial<Step>): Step {
  return {
    count: 1,
    millicores: 1000,
    megabytes: 1000,
    accelerators: 1,
    estimate: 1000,
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
    ...fields,
  };
}

/** Creates the request of a job; all have the same service. */
export function request(fields: {
  id: string;
  steps: Step[];
  priority?: number;
  maxAttempts?: number;
  team?: string;
  acceptedAt?: number;
}): JobRequest {
  return {
    id: fields.id,
    queue: `queue-${fields.priority ?? 1}`,
    team: fields.team ?? "team",
    spec: "text",
    steps: fields.steps,
    policy: {
      service: "service",
      priority: fields.priority ?? 1,
      maxAttempts: fields.maxAttempts ?? 2,
    },
    acceptedAt: fields.acceptedAt ?? 0,
  };
}

/** Creates a scheduler with `workers` workers of eight accelerators each. */
export function createFleet(
  fields: {
    workers: number;
    manualStore?: boolean;
    /** Shortest time between rounds of planning; 0 by default. */
    planningInterval?: number;
    /** Whether the scheduler takes over a fleet that has not reported yet. */
    takesOver?: boolean;
    /** Time after which an agent without a report is lost, as a new leader. */
    unlistedLoss?: number;
    /** Failure domain of each worker, by its index; none by default. */
    failureDomains?: string[];
  },
) {
  const scheduler = createScheduler({
    times: {
      agentLoss: AGENT_LOSS,
      unlistedLoss: fields.unlistedLoss ?? AGENT_LOSS,
      agentRetention: AGENT_RETENTION,
      retention: 240_000,
      planningInterval: fields.planningInterval ?? 0,
    },
    takesOver: fields.takesOver ?? false,
  });
  const logs: Extract<SchedulerEffect, { kind: "log" }>[] = [];
  let now = 0;
  const workers: FakeWorker[] = Array.from(
    { length: fields.workers },
    (_, index) => ({
      name: `agent-${index}`,
      incarnation: 1,
      crashes: [],
      accelerators: 8,
      failureDomain: fields.failureDomains?.[index],
      warmupLeft: 0,
      mostAccelerators: 8,
      running: [],
      listedAt: new Map(),
      ended: [],
      endsPerList: Infinity,
      absent: [],
      refused: [],
      nextEnd: 1,
      silent: false,
      mute: false,
      away: "no",
    }),
  );

  const fleet = {
    /** Number of workers. */
    size: fields.workers,
    manualStore: fields.manualStore ?? false,
    submit: (request: JobRequest) => {
      applyEffects(scheduler.reduce({ kind: "job", now, request }));
    },
    load: (request: JobRequest, progress: JobProgress) => {
      const copy = structuredClone(progress);
      applyEffects(
        scheduler.reduce({ kind: "job", now, request, progress: copy }),
      );
    },
    cancel: (job: string) => {
      applyEffects(scheduler.reduce({ kind: "cancel", now, job, date: now }));
    },
    guarantee: (team: string, accelerators: number) => {
      const policies = {
        queues: new Map(),
        guarantees: new Map([[team, accelerators]]),
        evacuated: scheduler.state.policies.evacuated,
      };
      applyEffects(scheduler.reduce({ kind: "policies", now, policies }));
    },
    /** Evacuates exactly these failure domains. */
    evacuate: (...domains: string[]) => {
      const evacuated = new Set(domains);
      const policies = { ...scheduler.state.policies, evacuated };
      applyEffects(scheduler.reduce({ kind: "policies", now, policies }));
    },
    /** Lets the worker announce for how long it is still cold. */
    warmUp: (index: number, warmupLeft: number) => {
      workers[index]!.warmupLeft = warmupLeft;
      report(index);
    },
    /** Fields of the log lines with this text, in order. */
    logsOf: (text: string) =>
      logs.filter((each) => each.text === text).map((each) => each.fields),
    /** Names of the agents that the scheduler has forgotten. */
    forgotten: [] as string[],
    store,
    report,
    orders: (index: number) => workers[index]!.orders,
    starts: (index: number) => workers[index]!.orders?.starts ?? [],
    stops: (index: number) => workers[index]!.orders?.stops ?? [],
    /** Number of accelerators that one task needs. */
    acceleratorsOf: (task: string): number => {
      const name = parseTask(task)!;
      const job = scheduler.state.jobs.get(name.job)!;
      return job.request.steps[name.step]!.accelerators;
    },
    running: (index: number) => workers[index]!.running,
    /** Index of the worker that runs the task; -1 if none does. */
    workerOf: (task: string): number =>
      workers.findIndex(({ running }) =>
        running.some((each) => each.task === task)
      ),
    /** Index of the worker that runs the task or is to start it; -1 if none. */
    assignedTo: (task: string): number =>
      workers.findIndex(({ running, orders }) =>
        [...running, ...orders?.starts ?? []].some((each) => each.task === task)
      ),
    status: (job: string) => scheduler.snapshot(job)?.progress.status,
    progress: (job: string) => scheduler.snapshot(job)!.progress,
    /** Tells the scheduler that it knows all jobs and agents of the store. */
    endLoading: () => {
      for (const { name: agent } of workers) {
        applyEffects(scheduler.reduce({ kind: "agent", now, agent }));
      }
      applyEffects(scheduler.reduce({ kind: "loaded", now }));
    },
    /** Lets the worker answer its agent's calls, or not. */
    mute: (index: number, mute: boolean) => {
      workers[index]!.mute = mute;
    },
    /** Lets the worker announce that it leaves, with its current progress. */
    announceLeaving: (index: number, remaining: number, percent = 0) => {
      const worker = workers[index]!;
      worker.remaining = remaining;
      for (const running of worker.running) running.percent = percent;
      report(index);
    },
    /** Passes the event that asks for the round of planning that is due. */
    planAfter: (duration: number) => {
      now += duration;
      applyEffects(scheduler.reduce({ kind: "plan", now }));
    },
    /** Passes a short time with a tick, and without reports. */
    tickAfter: (duration: number) => {
      now += duration;
      applyEffects(scheduler.reduce({ kind: "tick", now, date: now }));
    },
    /** Closes the link to the agent, until its next report. */
    disconnect: (index: number) => {
      const agent = workers[index]!.name;
      applyEffects(scheduler.reduce({ kind: "disconnected", now, agent }));
    },
    /** Sets how many ends the worker lists at a time. */
    listEnds: (index: number, endsPerList: number) => {
      workers[index]!.endsPerList = endsPerList;
    },
    silence: (index: number) => {
      workers[index]!.silent = true;
    },
    /** Makes the agent report no worker from its next report on. */
    hide: (index: number, away: "unknown" | "vacant") => {
      workers[index]!.away = away;
    },
    /** Runs every ordered start and reports it. */
    runStarts: () => {
      workers.forEach((worker, index) => {
        for (const { task, run } of worker.orders?.starts ?? []) {
          worker.running.push({ task, run, checkpoint: "", percent: 0 });
        }
        if (!worker.silent) report(index);
      });
    },
    /** Ends one running task, given by its position, and reports the end. */
    end: (index: number, position: number, ending: RunEnding) => {
      const worker = workers[index]!;
      const [ended] = worker.running.splice(position, 1);
      worker.ended.push({
        number: worker.nextEnd++,
        task: ended!.task,
        run: ended!.run,
        ending,
        checkpoint: "",
      });
      report(index);
    },
    /**
     * Crashes the worker, which comes back at once. Its agent reports that the
     * settled runs had been listed for `workedFor`; without `evidence` it
     * reports no crash.
     */
    crash: (
      index: number,
      fields: {
        settled?: string[];
        workedFor?: number;
        evidence?: boolean;
      } = {},
    ) => {
      const worker = workers[index]!;
      const { settled = [], workedFor = 1000, evidence = true } = fields;
      const runs = worker.running.map(({ task, run }) => ({
        task,
        run,
        workedFor: settled.includes(task) ? workedFor : 0,
      }));
      if (evidence) {
        worker.crashes.push({
          worker: keyOf(worker, index),
          runs,
          at: worker.unansweredSince ?? now,
        });
      }
      worker.unansweredSince = undefined;
      worker.incarnation++;
      worker.mostAccelerators = worker.accelerators;
      worker.running = [];
      worker.ended = [];
      worker.nextEnd = 1;
      worker.orders = undefined;
      report(index);
    },
    /** The agent reports that the worker does not answer any more. */
    stopAnswering: (index: number) => {
      workers[index]!.unansweredSince = now;
      report(index);
    },
    /** Lets a run be on the worker, which its agent has not reported yet. */
    runOn: (index: number, task: string, run: number) => {
      workers[index]!.running.push({ task, run, checkpoint: "", percent: 0 });
    },
    /** Lets the worker refuse all starts that it was ordered. */
    refuse: (index: number) => {
      const worker = workers[index]!;
      worker.refused = (worker.orders?.starts ?? [])
        .map(({ task, run }) => ({ task, run, reason: "busy" }));
      report(index);
      worker.refused = [];
    },
    /** Lets the agents report that runs to be stopped have never begun. */
    dropWithdrawn: () => {
      workers.forEach((worker, index) => {
        const running = worker.running.map(runKey);
        worker.absent = (worker.orders?.stops ?? [])
          .filter((stop) => !running.includes(runKey(stop)));
        if (worker.absent.length > 0) report(index);
        worker.absent = [];
      });
    },
    /** Changes the number of accelerators that the worker announces. */
    resize: (index: number, accelerators: number) => {
      const worker = workers[index]!;
      worker.accelerators = accelerators;
      worker.mostAccelerators = Math.max(worker.mostAccelerators, accelerators);
      report(index);
    },
    /** Passes time, with reports and ticks at the report interval. */
    advance: (duration: number) => {
      const end = now + duration;
      while (now < end) {
        now = Math.min(end, now + REPORT_INTERVAL);
        workers.forEach((worker, index) => {
          if (!worker.silent) report(index);
        });
        applyEffects(scheduler.reduce({ kind: "tick", now, date: now }));
      }
    },
    scheduler,
  };

  function applyEffects(effects: SchedulerEffect[]): SchedulerEffect[] {
    for (const effect of effects) {
      if (effect.kind === "log") logs.push(effect);
      if (effect.kind === "forget") fleet.forgotten.push(effect.agent);
      if (effect.kind !== "orders") continue;
      const worker = workers.find(({ name }) => name === effect.agent);
      if (worker) worker.orders = effect.orders;
    }
    // Writes are confirmed after the orders of the same event have been taken.
    for (const effect of effects) {
      if (effect.kind === "store" && !fleet.manualStore) store(effect.job);
    }
    return effects;
  }

  function store(job: string): void {
    const version = scheduler.snapshot(job)!.version;
    applyEffects(scheduler.reduce({ kind: "stored", now, job, version }));
  }

  function report(index: number): SchedulerEffect[] {
    const worker = workers[index]!;
    for (const running of worker.running) {
      const key = runKey(running);
      worker.listedAt.set(key, worker.listedAt.get(key) ?? now);
    }
    const report: AgentReport = {
      kind: "report",
      sentAt: now,
      vacant: worker.away === "vacant",
      worker: worker.away !== "no" ? undefined : {
        key: keyOf(worker, index),
        born: worker.incarnation,
        service: "service",
        rack: `rack-${Math.floor(index / WORKERS_PER_RACK)}`,
        failureDomain: worker.failureDomain,
        labels: [],
        millicores: 32_000,
        megabytes: 128_000,
        accelerators: worker.accelerators,
        full: {
          millicores: 32_000,
          megabytes: 128_000,
          accelerators: worker.mostAccelerators,
        },
        draining: worker.remaining !== undefined,
        remaining: worker.remaining ?? 0,
        warmupLeft: worker.warmupLeft,
        reachable: true,
      },
      listed: worker.away === "no" && !worker.mute,
      running: worker.running.map((running) => ({ ...running })),
      unsettled: worker.running.filter((running) =>
        now - worker.listedAt.get(runKey(running))! < SETTLE_TIME
      ),
      ended: worker.ended.slice(0, worker.endsPerList),
      allEnds: worker.ended.length <= worker.endsPerList,
      refused: worker.refused,
      absent: worker.absent,
      emptied: [],
      crashes: worker.crashes.map(({ at, ...crash }) => ({
        ...crash,
        silence: silenceSince(at),
      })),
      silence: worker.unansweredSince === undefined
        ? undefined
        : silenceSince(worker.unansweredSince),
    };
    return applyEffects(
      scheduler.reduce({
        kind: "report",
        now,
        agent: worker.name,
        report,
        date: now,
      }),
    );
  }

  function silenceSince(time: number): WorkerSilence {
    return { aliveAgo: now - time, failedAgo: now - time };
  }

  function keyOf({ incarnation }: FakeWorker, index: number): string {
    return `worker-${index}@${incarnation}`;
  }

  if (!fields.takesOver) workers.forEach((_, index) => report(index));
  return fleet;
}
