/**
 * Soak test: runs the real programs under random faults and checks their
 * guarantees meanwhile.
 *
 * @module
 */

import { setTimeout as sleep } from "node:timers/promises";
import { createRandom } from "@dragonflyledge/model";
import { startPrograms } from "../programs.ts";
import type { ProgramProcess, Programs } from "../programs.ts";
import { SLOWEST_CLOCK_RATE } from "../worker_server.ts";
import { isFinal, runCallers, sendRequest } from "./callers.ts";
import {
  LARGE_CONFIGURATION_FAULTS,
  SLOW_LINK_SPEED,
} from "./configuration_faults.ts";
import { probeConfigurations } from "./configuration_probe.ts";
import { createConfigurationVersions } from "./configuration_versions.ts";
import { drawFault, FAULTS, MAX_FAULT_DURATION } from "./faults.ts";
import { createLedger, WORKER_ACCELERATORS } from "./ledger.ts";
import type { JobRecord, Ledger } from "./ledger.ts";
import { RETURNED_WORKER_FAULTS } from "./returned_worker_faults.ts";

/** Time for which entries may take to answer after the start, in ms. */
const START_TIMEOUT = 30_000;
/** Guaranteed bound on recovery after the last fault, in milliseconds. */
const RECOVERY_BOUND = 12_000;
/** Longest wait for open jobs at the end of a soak, in milliseconds. */
const FINISH_TIMEOUT = 180_000;
/** Time without a fault after which the bounds hold again, in ms. */
const FAULT_FREE_TIME = 3000;
/**
 * A request that is cut off counts as a violation only if no fault but planned
 * stops affected its entry for this long, in milliseconds. A planned stop takes
 * less and must not cut off requests.
 */
const STOP_DURATION = 7000;
/** Time between two checks of a condition, in milliseconds. */
const POLL_INTERVAL = 200;
/** Least time between two faults, in milliseconds. */
const MIN_FAULT_GAP = 200;
/** Longest random addition to MIN_FAULT_GAP, in milliseconds. */
const FAULT_GAP_RANGE = 2500;

/** Failure domains of the agents in turn, each of uneven workers. */
const ZONES = ["zone-a", "zone-b"];
/** Bounds of the workers' rates. */
const RATES = { lowest: 0.6, highest: 1.7 };
/**
 * Guaranteed bound in milliseconds after which nothing starts in a failure
 * domain whose evacuation the store has acknowledged.
 */
const EVACUATION_BOUND = 5000;
/** Share of long jobs while workers return under their ids, 0 to 1. */
const LONG_SHARE = 0.3;
/** Time for which a worker that crashed refuses connections, in ms. */
const CRASH_DURATION = 1500;

/** An injected fault: its time span and what it affected. */
interface InjectedFault {
  at: number;
  until: number;
  name: string;
  affected: string[];
}

/** Result of one soak. */
export interface SoakResult {
  seed: number;
  /** Injected faults, each with its time in milliseconds before its name. */
  faults: string[];
  /** Jobs that were submitted. */
  jobs: number;
  /** Jobs all steps of which are done. */
  completed: number;
  /** Broken guarantees, each with its rule and time. */
  violations: string[];
  /** The last log lines of each process, by name. */
  logs: Map<string, string[]>;
}

/**
 * Starts the programs, injects faults drawn from the seed for `time`
 * milliseconds, and waits until the programs have recovered and the accepted
 * jobs have ended. Broken guarantees are in the result; throws only if a
 * program does not start or stop in time.
 */
export async function runSoak(fields: {
  seed: number;
  time: number;
  entries: number;
  agents: number;
  callers: number;
  /** Faults that may be drawn; all short ones by default. */
  faults?: string[];
}): Promise<SoakResult> {
  const random = createRandom(fields.seed);
  const randomRate = createRandom(fields.seed + 2);
  const { lowest, highest } = RATES;
  const agents = Array.from({ length: fields.agents }, (_, index) => ({
    zone: ZONES[index % ZONES.length]!,
    rate: lowest + randomRate() * (highest - lowest),
  }));
  const zones = agents.map(({ zone }) => zone);
  const names = fields.faults ?? Object.keys(FAULTS);
  /** Whether workers return under their ids, beside long tasks. */
  const returns = names.some((name) => name in RETURNED_WORKER_FAULTS);
  const randomLength = createRandom(fields.seed + 3);
  const evacuated = new Map<string, number>();
  const failingWorkers = new Set<string>();
  const down = new Set<ProgramProcess>();
  const now = () => performance.now();
  const ledger = createLedger({
    now,
    maxFaultDuration: MAX_FAULT_DURATION,
    failsRuns: (worker) =>
      failingWorkers.has(worker.split("-").slice(0, 2).join("-")),
    isInTouch: (worker) => {
      const agent = programs.agents[indexOf(worker)]!;
      return isUnaffectedAndUp(agent, now() - FAULT_FREE_TIME);
    },
    hasLease: (worker, since) => {
      const present = programs.workers[indexOf(worker)]!;
      return present.id() === worker && present.hasLease(since);
    },
    isEvacuated: (worker) => {
      const index = indexOf(worker);
      const latest = now() - EVACUATION_BOUND;
      return (evacuated.get(zones[index]!) ?? Infinity) < latest &&
        isUnaffectedAndUp(programs.agents[index]!, latest);
    },
    onDeadlyStart: (worker, task, delay) => {
      setTimeout(() => crashWorker(indexOf(worker), task), delay);
    },
  });
  const injected: InjectedFault[] = [];
  let over = false;
  let stopping = false;

  /** Crashes a worker, which refuses connections for a while. */
  function crashWorker(index: number, cause?: string): void {
    const worker = programs.workers[index]!;
    if (stopping || worker.isHalted()) return;
    const runs = worker.listRuns();
    // Another crash came first.
    if (cause && !runs.some(({ task }) => task === cause)) return;
    const relay = programs.agents[index]!.relays.worker!;
    ledger.crashed(runs, cause);
    worker.crash();
    relay.cut();
    relay.refuse(true);
    setTimeout(() => relay.refuse(false), CRASH_DURATION);
  }

  /** Halts a worker, which answers no calls until it is started again. */
  function haltWorker(index: number): void {
    const worker = programs.workers[index]!;
    ledger.crashed(worker.listRuns());
    worker.halt();
  }

  /**
   * Reports a process that ended by itself, and starts it again as the platform
   * would.
   */
  function handleExit(process: ProgramProcess): void {
    if (stopping || down.has(process)) return;
    ledger.report("EXIT", `${process.name} ended by itself`);
    process.start();
  }

  const programs = await startPrograms({
    entries: fields.entries,
    agents: fields.agents,
    zones,
    rates: agents.map(({ rate }) => rate),
    clockRates: agents.map((_, index) =>
      returns && index % 2 === 0 ? SLOWEST_CLOCK_RATE : 1
    ),
    duration: 0,
    linesKept: Infinity,
    observer: ledger.observer,
    onExit: handleExit,
    random: createRandom(fields.seed + 1),
  });
  const target = {
    programs,
    random,
    down,
    failingWorkers,
    zones,
    evacuated,
    returning: new Set<number>(),
    haltWorker,
    crashWorker: (index: number) => crashWorker(index),
    versions: createConfigurationVersions(programs.store),
  };

  /** Whether no fault but planned stops affected the process since then. */
  const isUnaffected = (process: ProgramProcess, since: number) =>
    injected.every(({ until, affected }) =>
      until < since || !affected.includes(process.name)
    );
  /** The same for a process that is not down. */
  const isUnaffectedAndUp = (process: ProgramProcess, since: number) =>
    !target.down.has(process) && isUnaffected(process, since);

  async function injectFaults(): Promise<void> {
    const end = now() + fields.time;
    while (now() < end) {
      await sleep(MIN_FAULT_GAP + random() * FAULT_GAP_RANGE);
      const name = names[Math.floor(random() * names.length)]!;
      const { inject, time } = drawFault(name, random);
      const fault: InjectedFault = {
        at: now(),
        until: Infinity,
        name,
        affected: [],
      };
      injected.push(fault);
      fault.affected = await inject(target, time);
      fault.until = now() + time;
    }
  }

  const onlyPlannedStops = (entry: ProgramProcess) =>
    isUnaffected(entry, now() - STOP_DURATION);

  if (names.some((name) => name in LARGE_CONFIGURATION_FAULTS)) {
    for (const { relays } of programs.entries) {
      relays.store.limitSpeed(SLOW_LINK_SPEED);
    }
  }

  try {
    await waitForEntries(programs);
    const probing = probeConfigurations({
      programs,
      versions: target.versions,
      isInTouch: (entry, time) =>
        isUnaffectedAndUp(entry, time - FAULT_FREE_TIME),
      report: ledger.report,
      done: () => over,
    });
    const calling = runCallers({
      programs,
      ledger,
      count: fields.callers,
      random,
      drawLong: () => returns && randomLength() < LONG_SHARE,
      done: () => over,
      onlyPlannedStops,
    });
    await injectFaults();
    await sleep(MAX_FAULT_DURATION);
    while (injected.some(({ until }) => until > now())) {
      await sleep(POLL_INTERVAL);
    }
    while (target.down.size > 0) await sleep(POLL_INTERVAL);
    await sleep(RECOVERY_BOUND);
    over = true;
    await Promise.all([calling, probing]);
    await checkJobsEnd(programs, ledger);
  } finally {
    stopping = true;
    await programs.stop();
  }
  ledger.finish();
  return {
    seed: fields.seed,
    faults: injected.map(({ at, name }) => `${Math.round(at)} ${name}`),
    jobs: ledger.jobs.size,
    completed: [...ledger.jobs.values()].filter(ledger.isJobDone).length,
    violations: ledger.violations,
    logs: new Map(
      [...programs.entries, ...programs.agents]
        .map(({ name, lines }) => [name, lines]),
    ),
  };
}

/** Index of the worker with this id, as in "i-2-1". */
function indexOf(worker: string): number {
  return Number(worker.split("-")[1]);
}

/** Waits until every entry answers; fails after START_TIMEOUT. */
async function waitForEntries(programs: Programs): Promise<void> {
  const end = performance.now() + START_TIMEOUT;
  for (const entry of programs.entries) {
    for (;;) {
      const answer = await sendRequest({
        entry,
        method: "GET",
        path: "/plans/",
      });
      if (answer.status === 200) break;
      if (performance.now() > end) throw new Error(`no answer: ${entry.name}`);
      await sleep(POLL_INTERVAL);
    }
  }
}

/**
 * Checks that every accepted job ends and that the entries show it. A job may
 * wait while more than half of the accelerators are in use or a long job is at
 * work; once neither has been so for RECOVERY_BOUND, jobs that are still open
 * count as lost. If all jobs have ended, no run may be left at a worker.
 */
async function checkJobsEnd(programs: Programs, ledger: Ledger): Promise<void> {
  const end = performance.now() + FINISH_TIMEOUT;
  let busyAt = performance.now();
  let open = [...ledger.jobs.values()].filter(({ accepted }) => accepted);
  while (open.length > 0 && performance.now() < end) {
    const left: JobRecord[] = [];
    for (const [index, record] of open.entries()) {
      const queried = programs.entries[index % programs.entries.length]!;
      const path = `/plans/${record.job.id}`;
      const answer = await sendRequest({ entry: queried, method: "GET", path });
      ledger.shown(record.job.id, answer.status, answer.state);
      if (!isFinal(answer.state)) left.push(record);
    }
    open = left;
    const used = programs.workers.reduce(
      (sum, each) => sum + each.usedAccelerators(),
      0,
    );
    const total = programs.workers.length * WORKER_ACCELERATORS;
    if (used > total / 2 || isLongAtWork(programs, ledger)) {
      busyAt = performance.now();
    }
    if (performance.now() > busyAt + RECOVERY_BOUND) break;
    await sleep(POLL_INTERVAL);
  }
  for (const { job, lastState: shown } of open) {
    ledger.report("LOST", `${job.id} does not end; its last state is ${shown}`);
  }
  const present = programs.workers.flatMap((worker) => worker.listRuns());
  for (const { task, run } of open.length > 0 ? [] : present) {
    ledger.report("UNASKED", `${task}#${run} still runs after all jobs ended`);
  }
}

/** Whether a worker runs a task of a long job. */
function isLongAtWork({ workers }: Programs, { jobs }: Ledger): boolean {
  return workers.some((worker) =>
    worker.listRuns().some(({ task }) =>
      jobs.get(task.split(".")[0]!)?.job.long === true
    )
  );
}
