/**
 * A fleet whose workers have known rates and list their progress, for tests.
 *
 * @module
 */

import { createRandom } from "@dragonflyledge/model";
import type { Step } from "../job.ts";
import { createHealth } from "../health/worker_health.ts";
import { request, step } from "../fleet_for_tests.ts";
import { Isolation } from "../place/suspects.ts";
import type { Job, Run, Worker } from "../state.ts";
import { createWorkerRates } from "./worker_rates.ts";

const LIST_INTERVAL = 1000;
const TICK_INTERVAL = 250;
const MOMENT = 50;
const SERVICE = "service";

/** Tasks of one step to be run, and how they are. */
export interface Load {
  count: number;
  gang?: boolean;
  estimate: number;
  /** True mean of the run time at rate 1. */
  mean: number;
  /** Standard deviation of the logarithm of the run time. */
  spread: number;
  /** Percentage at which the runs are restored. */
  restoredAt?: number;
  /** Rack of the data; runs elsewhere take three times as long. */
  dataRack?: string;
  /** Service of the job; that of all workers by default. */
  service?: string;
  /** Percentage at which every eighth run stops making progress. */
  stallsAt?: number;
  /** Whether a gang that is in several racks takes three times as long. */
  sameRack?: boolean;
}

interface LiveRun {
  run: Run;
  progress: number;
  duration: number;
  /** Percentage beyond which it makes no progress. */
  limit: number;
  /** Set for members of a gang. */
  members?: LiveRun[];
}

interface RatedWorker {
  worker: Worker;
  rate: number;
  /** Share of the rate that is left until a time. */
  slowed: { factor: number; until: number };
  live: Set<LiveRun>;
  nextList: number;
  clockOffset: number;
}

/** Creates workers with these rates. */
export function createRatedFleet(
  fields: {
    rates: number[];
    seed: number;
    workersPerRack?: number;
    /** Tasks that a worker runs at once; 8 by default. */
    slots?: number;
    /** Services of the workers, in turn. */
    services?: string[];
    /** Whether reports carry the worker's clock; they do by default. */
    timed?: boolean;
  },
) {
  const { workersPerRack = 10, slots = 8, timed = true, services = [SERVICE] } =
    fields;
  const random = createRandom(fields.seed);
  const rates = createWorkerRates();
  const queue: { job: Job; load: Load; step: Step; indexes: number[] }[] = [];
  const keyed = new Map<string, Worker>();
  let now = 0;
  let jobs = 0;
  const workers = fields.rates.map((rate, index): RatedWorker => {
    const worker = createWorker(index, `rack-${index / workersPerRack | 0}`);
    worker.state.service = services[index % services.length]!;
    keyed.set(worker.state.key, worker);
    return {
      worker,
      rate,
      slowed: { factor: 1, until: 0 },
      live: new Set(),
      nextList: random() * LIST_INTERVAL,
      clockOffset: random() * 1e6,
    };
  });

  function normal(): number {
    const radius = Math.sqrt(-2 * Math.log(1 - random()));
    return radius * Math.cos(2 * Math.PI * random());
  }

  function start(): void {
    for (const entry of [...queue]) {
      const { load, indexes } = entry;
      while (indexes.length > 0) {
        const wanted = load.gang ? indexes.length : 1;
        const { service } = entry.job.policy;
        const free = workers.flatMap((each) =>
          each.worker.state.service !== service
            ? []
            : Array.from({ length: slots - each.live.size }, () => each)
        );
        if (free.length < wanted) return;
        const chosen = indexes.splice(0, wanted).map((index) => ({
          index,
          on: free.splice(Math.floor(random() * free.length), 1)[0]!,
        }));
        const members = chosen.map(({ index, on }) => begin(entry, index, on));
        if (!load.gang) continue;
        for (const member of members) member.members = members;
      }
      queue.splice(queue.indexOf(entry), 1);
    }
  }

  function begin(
    entry: typeof queue[number],
    index: number,
    on: RatedWorker,
  ): LiveRun {
    const { job, load, step } = entry;
    const { key } = on.worker.state;
    const run = createRun({ job, step, index, worker: key, now });
    run.agent = on.worker.agent;
    run.percent = load.restoredAt ?? 0;
    job.runs.add(run);
    on.worker.runs.add(run);
    const duration = load.mean * Math.exp(load.spread * normal());
    const limit = index % 8 === 0 ? load.stallsAt ?? 100 : 100;
    const live = { run, progress: run.percent, duration, limit };
    on.live.add(live);
    on.nextList = Math.min(on.nextList, now + MOMENT);
    return live;
  }

  function isRemote({ run }: LiveRun): boolean {
    const rackOf = (each: Run) => keyed.get(each.worker)!.state.rack;
    const { dataRack, sameRack, gang } = run.step;
    if (dataRack !== "" && dataRack !== rackOf(run)) return true;
    return gang && sameRack && new Set([...run.job.runs].map(rackOf)).size > 1;
  }

  function work(each: RatedWorker): void {
    const factor = now < each.slowed.until ? each.slowed.factor : 1;
    for (const live of each.live) {
      const rate = each.rate * factor / (isRemote(live) ? 3 : 1);
      live.progress = Math.min(
        live.limit,
        live.progress + 100 * MOMENT * rate / live.duration,
      );
    }
    for (const live of [...each.live]) {
      const members = live.members ?? [live];
      if (members.some(({ progress }) => progress < 100)) continue;
      if (!live.members) endRun(each, live);
      else for (const member of members) endRun(workerOf(member), member);
    }
  }

  function workerOf({ run }: LiveRun): RatedWorker {
    return workers.find(({ worker }) => worker.state.key === run.worker)!;
  }

  function endRun(each: RatedWorker, live: LiveRun): void {
    const clock = timed ? now + each.clockOffset : undefined;
    rates.observeDone(live.run, clock, now);
    each.live.delete(live);
    each.worker.runs.delete(live.run);
    live.run.job.runs.delete(live.run);
    each.nextList = now;
  }

  function list(each: RatedWorker): void {
    if (now < each.nextList) return;
    each.nextList = now + LIST_INTERVAL;
    for (const { run, progress } of each.live) {
      run.confirmed = true;
      run.percent = Math.floor(progress);
      run.progressAt = now;
    }
    const clock = timed ? now + each.clockOffset : undefined;
    rates.observe({ worker: each.worker, workers: keyed, clock, now });
  }

  return {
    rates,
    now: () => now,
    random,
    submit: (load: Load) => {
      const { count, gang = false, estimate, dataRack = "", sameRack = false } =
        load;
      const each = step({ count, gang, estimate, dataRack, sameRack });
      const job = createJob(`job${jobs++}`, each);
      job.policy = { ...job.policy, service: load.service ?? SERVICE };
      const indexes = Array.from({ length: count }, (_, index) => index);
      queue.push({ job, load, step: each, indexes });
    },
    /** Slows a worker down for a time. */
    slow: (index: number, factor: number, duration: number) => {
      workers[index]!.slowed = { factor, until: now + duration };
    },
    advance: (duration: number) => {
      const end = now + duration;
      while (now < end) {
        now += MOMENT;
        start();
        for (const each of workers) work(each);
        for (const each of workers) list(each);
        if (now % TICK_INTERVAL === 0) rates.advance(now);
      }
    },
    waiting: () => queue.length,
  };
}

function createWorker(index: number, rack: string): Worker {
  const capacity = { millicores: 64_000, megabytes: 128_000, accelerators: 8 };
  return {
    state: {
      key: `worker-${index}@1`,
      born: 1,
      service: "service",
      rack,
      labels: [],
      ...capacity,
      draining: false,
      remaining: 0,
      reachable: true,
    },
    full: capacity,
    agent: `agent-${index}`,
    listed: true,
    used: { millicores: 0, megabytes: 0, accelerators: 0 },
    runs: new Set(),
    checkpointingRuns: 0,
    isolatedRuns: 0,
    stoppingRuns: 0,
    avoidUntil: 0,
    health: createHealth(),
    unstoredEnds: [],
    acknowledged: 0,
    appliedEnd: 0,
  };
}

function createJob(id: string, each: Step): Job {
  const job = request({ id, steps: [each] });
  return {
    request: job,
    specSize: 4,
    progress: {
      status: "running",
      begun: true,
      finishedAt: 0,
      nextOccurrence: 1,
      occurrences: [],
    },
    policy: job.policy,
    cancelled: false,
    version: 1,
    storedVersion: 1,
    runs: new Set(),
    readyAt: new Map(),
    waitNotedAt: new Map(),
    crashCompanions: [],
    outcomes: new Map(),
  };
}

function createRun(fields: {
  job: Job;
  step: Step;
  index: number;
  worker: string;
  now: number;
}): Run {
  const { job, step, index, worker, now } = fields;
  const task = { job: job.request.id, occurrence: 0, step: 0, index };
  return {
    task,
    name: `${task.job}.0.0.${index}`,
    run: 1,
    job,
    step,
    agent: "",
    worker,
    version: 1,
    ordered: true,
    confirmed: false,
    startOpen: false,
    settled: false,
    isolation: Isolation.None,
    stopping: false,
    overdue: false,
    percent: 0,
    progressAt: now,
    startedAt: now,
  };
}
