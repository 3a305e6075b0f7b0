/**
 * A scheduler with agents and workers in simulated time, for tests.
 *
 * @module
 */

import { createScheduler } from "./reducer.ts";
import { parseTask } from "./job.ts";
import type { JobRequest, Step } from "./job.ts";
import { runKey } from "./messages.ts";
import type { EndedTask, RunEnding, RunName, StartOrder } from "./messages.ts";
import type { WorkerRates } from "./rates/rate_estimator.ts";
import type { SchedulerEffect } from "./effects.ts";
import type { SchedulerEvent } from "./state.ts";

/** Time until the store confirms a write. */
const STORE_DELAY = 12;
/** Time of a message between leader and agent. */
const LINK_DELAY = 3;
const TICK_INTERVAL = 250;
const REPORT_INTERVAL = 800;
const PLANNING_INTERVAL = 15;

/** How one run of a job's tasks goes. */
export interface RunPlan {
  /** Run time of each task, in milliseconds. */
  duration: number;
  ending: RunEnding;
  /**
   * Workers on which the run ends as `ending`; its members on others are
   * broken. All by default.
   */
  endsOn?: number[];
}

interface LiveRun {
  name: RunName;
  /** Names all members of the run's gang; that of the run if it has none. */
  group: string;
  step: Step;
  stopping: boolean;
  /** Share of the work that was done before the run, from its checkpoint. */
  doneBefore: number;
  /** When the run and its gang began to work; undefined before that. */
  begunAt?: number;
  /** Run time of all of the task's work on its worker. */
  runtime: number;
}

interface TimedWorker {
  index: number;
  running: Map<string, LiveRun>;
  /** Runs that were started or refused, and never start again. */
  seen: Set<string>;
  ended: EndedTask[];
  nextEnd: number;
  absent: Map<string, RunName>;
}

type Orders = Extract<SchedulerEffect, { kind: "orders" }>["orders"];

/** Creates a scheduler with workers that run what it orders. */
export function createTimedFleet(fields: {
  workers: number;
  workersPerRack: number;
  /** Time from the order to stop a run until it has ended. */
  stopDelay: number;
  /** Called when a run, or the last member of a gang's run, has begun. */
  planRun: (job: JobRequest, workers: number[], task: string) => RunPlan;
  /**
   * Run time of a task that runs together with those on `workers`; that of its
   * plan by default.
   */
  runtimeOn?: (run: {
    duration: number;
    step: Step;
    worker: number;
    workers: number[];
  }) => number;
  /** Rates that the scheduler takes for those of the workers. */
  rates?: WorkerRates;
  /** Called when a run was stopped, or ended with its gang, after `worked`. */
  onStopped?: (task: string, worked: number) => void;
  /** Called when a run begins on the worker with this index. */
  onBegun?: (task: string, worker: number) => void;
  /** Called when a run ends on a worker. */
  onEnded?: (task: string, ending: RunEnding, worker: number) => void;
  /** Called with the text of each line of the scheduler's log. */
  onLog?: (text: string) => void;
  /** Called when a job has a final status. */
  onFinished?: (job: string, status: string) => void;
}) {
  const scheduler = createScheduler({
    times: {
      agentLoss: 8300,
      unlistedLoss: 8300,
      agentRetention: 60_000,
      retention: 1000,
      planningInterval: PLANNING_INTERVAL,
    },
    ...(fields.rates && { rates: fields.rates }),
  });
  const requests = new Map<string, JobRequest>();
  let now = 0;
  let actions: { at: number; act: () => void }[] = [];
  const workers: TimedWorker[] = Array.from(
    { length: fields.workers },
    (_, index) => ({
      index,
      running: new Map(),
      seen: new Set(),
      ended: [],
      nextEnd: 1,
      absent: new Map(),
    }),
  );

  function after(delay: number, act: () => void): void {
    const at = now + delay;
    let position = actions.length;
    while (position > 0 && actions[position - 1]!.at > at) position--;
    actions.splice(position, 0, { at, act });
  }

  function dispatch(event: SchedulerEvent): void {
    const effects = scheduler.reduce(event);
    for (const effect of effects) {
      if (effect.kind === "store") confirmLater(effect.job);
      else if (effect.kind === "log") observe(effect);
      else if (effect.kind === "planLater") {
        after(effect.delay, () => dispatch({ kind: "plan", now }));
      } else if (effect.kind === "orders") {
        const index = Number(effect.agent.split("-")[1]);
        after(LINK_DELAY, () => obey(workers[index]!, effect.orders));
      }
    }
  }

  function observe(effect: Extract<SchedulerEffect, { kind: "log" }>): void {
    fields.onLog?.(effect.text);
    if (effect.text !== "Job finished.") return;
    fields.onFinished?.(
      String(effect.fields.job),
      String(effect.fields.status),
    );
  }

  function confirmLater(job: string): void {
    const version = scheduler.snapshot(job)?.version;
    if (version === undefined) return;
    after(STORE_DELAY, () => dispatch({ kind: "stored", now, job, version }));
  }

  function obey(worker: TimedWorker, orders: Orders): void {
    worker.ended = worker.ended
      .filter(({ number }) => number > orders.acknowledged);
    for (const start of orders.starts) begin(worker, start);
    for (const stop of orders.stops) stopRun(worker, stop);
  }

  function begin(worker: TimedWorker, start: StartOrder): void {
    const key = runKey(start);
    if (worker.seen.has(key)) return;
    worker.seen.add(key);
    const name = parseTask(start.task)!;
    const request = requests.get(name.job)!;
    const step = request.steps[name.step]!;
    const group = step.gang
      ? `${name.job}.${name.occurrence}.${name.step}#${start.run}`
      : key;
    worker.running.set(key, {
      name: { task: start.task, run: start.run },
      group,
      step,
      stopping: false,
      doneBefore: step.checkpointing ? Number(start.checkpoint) : 0,
      runtime: 0,
    });
    fields.onBegun?.(start.task, worker.index);
    reportSoon(worker);
    const members = membersOf(group);
    if (members.length < (step.gang ? step.count : 1)) return;
    const indexes = members.map(({ worker }) => worker.index);
    const plan = fields.planRun(request, indexes, start.task);
    const { duration } = plan;
    if (plan.ending !== "done") {
      return after(duration, () => endGroup(group, plan));
    }
    for (const { worker: { index: worker }, run } of members) {
      run.begunAt = now;
      run.runtime =
        fields.runtimeOn?.({ duration, step, worker, workers: indexes }) ??
          duration;
    }
    const left = members
      .map(({ run }) => run.runtime * (1 - run.doneBefore));
    after(Math.max(...left), () => endGroup(group, plan));
  }

  /** Share of the run's work that is done. */
  function doneOf({ begunAt, runtime, doneBefore }: LiveRun): number {
    if (begunAt === undefined || runtime === 0) return doneBefore;
    return Math.min(1, doneBefore + (now - begunAt) / runtime);
  }

  /** Checkpoint of the run, which is the share of its work that is done. */
  function checkpointOf(run: LiveRun): string {
    return run.step.checkpointing ? doneOf(run).toFixed(4) : "";
  }

  function membersOf(group: string) {
    return workers.flatMap((worker) =>
      [...worker.running.values()]
        .filter((run) => run.group === group)
        .map((run) => ({ worker, run }))
    );
  }

  /** Ends all members; a gang that lost one has ended before. */
  function endGroup(group: string, { ending, endsOn }: RunPlan): void {
    const members = membersOf(group);
    if (members.some(({ run }) => run.stopping)) return;
    for (const { worker, run } of members) {
      const ends = endsOn === undefined || endsOn.includes(worker.index);
      end(worker, run, ends ? ending : "broken");
    }
  }

  function end(worker: TimedWorker, run: LiveRun, ending: RunEnding): void {
    worker.running.delete(runKey(run.name));
    const number = worker.nextEnd++;
    const checkpoint = checkpointOf(run);
    if (ending !== "done") {
      fields.onStopped?.(run.name.task, now - (run.begunAt ?? now));
    }
    worker.ended.push({ number, ...run.name, ending, checkpoint });
    fields.onEnded?.(run.name.task, ending, worker.index);
    reportSoon(worker);
  }

  function stopRun(worker: TimedWorker, name: RunName): void {
    const run = worker.running.get(runKey(name));
    if (!run) {
      const listed = worker.ended
        .some((each) => runKey(each) === runKey(name));
      if (worker.seen.has(runKey(name)) || listed) return;
      worker.seen.add(runKey(name));
      worker.absent.set(runKey(name), name);
      return reportSoon(worker);
    }
    if (run.stopping) return;
    run.stopping = true;
    after(fields.stopDelay, () => {
      if (!worker.running.has(runKey(name))) return;
      end(worker, run, "stopped");
      for (const other of membersOf(run.group)) {
        end(other.worker, other.run, "broken");
      }
    });
  }

  function reportSoon(worker: TimedWorker): void {
    after(LINK_DELAY, () => report(worker));
  }

  function report(worker: TimedWorker): void {
    const { index } = worker;
    const absent = [...worker.absent.values()];
    worker.absent.clear();
    dispatch({
      kind: "report",
      now,
      date: now,
      agent: `agent-${index}`,
      report: {
        kind: "report",
        sentAt: now,
        vacant: false,
        worker: {
          key: `worker-${index}@1`,
          born: 1,
          service: "service",
          rack: `rack-${Math.floor(index / fields.workersPerRack)}`,
          labels: [],
          millicores: 64_000,
          megabytes: 131_072,
          accelerators: 8,
          draining: false,
          remaining: 0,
          reachable: true,
        },
        listed: true,
        running: [...worker.running.values()].map((run) => ({
          ...run.name,
          checkpoint: checkpointOf(run),
          percent: 100 * doneOf(run),
        })),
        ended: [...worker.ended],
        refused: [],
        absent,
        emptied: [],
      },
    });
  }

  function repeat(interval: number, act: () => void): void {
    act();
    after(interval, () => repeat(interval, act));
  }

  for (const worker of workers) {
    repeat(REPORT_INTERVAL, () => report(worker));
  }
  repeat(TICK_INTERVAL, () => dispatch({ kind: "tick", now, date: now }));

  return {
    now: () => now,
    after,
    submit: (request: JobRequest) => {
      requests.set(request.id, request);
      dispatch({ kind: "job", now, request });
    },
    guarantee: (guarantees: Map<string, number>) => {
      const policies = {
        queues: new Map(),
        guarantees,
        evacuated: new Set<string>(),
      };
      dispatch({ kind: "policies", now, policies });
    },
    /** Passes time until `end`. */
    runUntil: (end: number) => {
      for (;;) {
        const next = actions[0];
        if (!next || next.at > end) break;
        actions = actions.slice(1);
        now = next.at;
        next.act();
      }
      now = end;
    },
  };
}
