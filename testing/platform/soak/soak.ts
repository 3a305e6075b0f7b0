/**
 * Random faults on the real programs, with their promises checked meanwhile.
 *
 * @module
 */

import { setTimeout as sleep } from "node:timers/promises";
import { createRandom } from "@dragonflyledge/model";
import { startPrograms } from "../programs.ts";
import type { ProgramProcess, Programs } from "../programs.ts";
import { isFinal, runCallers, sendRequest } from "./callers.ts";
import { FAULTS, MAX_FAULT_DURATION } from "./faults.ts";
import { createLedger, WORKER_ACCELERATORS } from "./ledger.ts";
import type { JobRecord, Ledger } from "./ledger.ts";

const START_TIMEOUT = 30_000;
/** Stated bound on recovery. */
const RECOVERY_BOUND = 12_000;
/** The soak waits no longer for jobs that are still open. */
const FINISH_TIMEOUT = 180_000;
/** Stated bound on a configuration coming into force. */
const CONFIGURATION_BOUND = 2000;
/** Time without a fault after which the bounds hold again. */
const FAULT_FREE_TIME = 3000;
/** A stop may cut what is asked of the process for so long. */
const STOP_DURATION = 7000;
const PROBE_INTERVAL = 250;
const POLL_INTERVAL = 200;
const MIN_FAULT_GAP = 200;
const FAULT_GAP_RANGE = 2500;
const MIN_FAULT_DURATION = 300;

/** A fault that struck. */
interface InjectedFault {
  at: number;
  until: number;
  fault: string;
  affected: string[];
}

/** Outcome of one soak. */
export interface SoakResult {
  seed: number;
  faults: string[];
  jobs: number;
  completed: number;
  violations: string[];
  /** The last log lines of each process, by name. */
  logs: Map<string, string[]>;
}

/** Runs the programs under faults drawn from the seed for `time`. */
export async function runSoak(fields: {
  seed: number;
  time: number;
  entries: number;
  agents: number;
  callers: number;
  /** Faults that may be drawn; all by default. */
  faults?: string[];
}): Promise<SoakResult> {
  const random = createRandom(fields.seed);
  const failing = new Set<string>();
  const down = new Set<ProgramProcess>();
  const now = () => performance.now();
  const ledger = createLedger({
    now,
    longestFault: MAX_FAULT_DURATION,
    fails: (worker) => failing.has(worker.split("-").slice(0, 2).join("-")),
  });
  let over = false;
  let stopping = false;

  /** The platform starts a process again that ends by itself. */
  function noteExit(seat: ProgramProcess): void {
    if (stopping || down.has(seat)) return;
    ledger.blame("EXIT", `${seat.name} ended by itself`);
    seat.start();
  }

  const programs = await startPrograms({
    entries: fields.entries,
    agents: fields.agents,
    duration: 0,
    linesKept: Infinity,
    observer: ledger.observer,
    onExit: noteExit,
    random: createRandom(fields.seed + 1),
  });
  const strikes: InjectedFault[] = [];
  const target = {
    programs,
    random,
    down,
    failingWorkers: failing,
    version: { current: 1, acknowledgedAt: now() },
  };

  /** Whether no fault but a planned stop struck the process since. */
  const isUntouched = (seat: ProgramProcess, since: number) =>
    strikes.every(({ until, affected: struck }) =>
      until < since || !struck.includes(seat.name)
    );
  const isCalm = (seat: ProgramProcess, since: number) =>
    !target.down.has(seat) && isUntouched(seat, since);

  async function strikeOn(): Promise<void> {
    const kinds = fields.faults ?? Object.keys(FAULTS);
    const end = now() + fields.time;
    while (now() < end) {
      await sleep(MIN_FAULT_GAP + random() * FAULT_GAP_RANGE);
      const fault = kinds[Math.floor(random() * kinds.length)]!;
      const time = MIN_FAULT_DURATION +
        random() * (MAX_FAULT_DURATION - MIN_FAULT_DURATION);
      const strike: InjectedFault = {
        at: now(),
        until: Infinity,
        fault,
        affected: [],
      };
      strikes.push(strike);
      strike.affected = await FAULTS[fault]!(target, time);
      strike.until = now() + time;
    }
  }

  /** Asks each entry for the queues of the newest and of an older version. */
  async function probeVersions(): Promise<void> {
    const seen = new Map<ProgramProcess["child"], number>();
    while (!over) {
      await sleep(PROBE_INTERVAL);
      for (const entry of programs.entries) {
        await probe(entry, seen);
      }
    }
  }

  async function probe(
    entry: ProgramProcess,
    seen: Map<ProgramProcess["child"], number>,
  ) {
    const { child } = entry;
    const { current, acknowledgedAt } = target.version;
    const sentAt = now();
    const answer = await sendRequest({
      entry,
      method: "GET",
      path: `/v${current}/`,
    });
    const touch = sentAt - FAULT_FREE_TIME;
    if (answer.status === 404) {
      const known = seen.get(child) ?? 0;
      if (known >= current) {
        ledger.blame("CONFIG", `${entry.name} went back from ${known}`);
      }
      const due = acknowledgedAt + CONFIGURATION_BOUND;
      if (sentAt > due && isCalm(entry, touch) && entry.child === child) {
        ledger.blame("CONFIG", `${entry.name} lacks version ${current}`);
      }
    }
    if (answer.status === 200) seen.set(child, current);
  }

  const onlyStops = (entry: ProgramProcess) =>
    isUntouched(entry, now() - STOP_DURATION);

  try {
    await waitForEntries(programs);
    const probing = probeVersions();
    const calling = runCallers({
      programs,
      ledger,
      count: fields.callers,
      random,
      done: () => over,
      onlyStops,
    });
    await strikeOn();
    await sleep(MAX_FAULT_DURATION);
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
    faults: strikes.map(({ at, fault }) => `${Math.round(at)} ${fault}`),
    jobs: ledger.jobs.size,
    completed: [...ledger.jobs.values()].filter(ledger.isJobDone).length,
    violations: ledger.violations,
    logs: new Map(
      [...programs.entries, ...programs.agents]
        .map(({ name, lines }) => [name, lines]),
    ),
  };
}

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
      if (performance.now() > end) throw new Error(`${entry.name} is not up`);
      await sleep(POLL_INTERVAL);
    }
  }
}

/**
 * Every accepted job has to end, and every entry has to know it. While the
 * workers are busy a job may wait; with half of them free it may not.
 */
async function checkJobsEnd(programs: Programs, ledger: Ledger): Promise<void> {
  const end = performance.now() + FINISH_TIMEOUT;
  let busyAt = performance.now();
  let open = [...ledger.jobs.values()].filter(({ accepted }) => accepted);
  while (open.length > 0 && performance.now() < end) {
    const left: JobRecord[] = [];
    for (const [index, entry] of open.entries()) {
      const seat = programs.entries[index % programs.entries.length]!;
      const path = `/plans/${entry.job.id}`;
      const answer = await sendRequest({ entry: seat, method: "GET", path });
      ledger.shown(entry.job.id, answer.status, answer.state);
      if (!isFinal(answer.state)) left.push(entry);
    }
    open = left;
    const used = programs.workers.reduce(
      (sum, each) => sum + each.usedAccelerators(),
      0,
    );
    const room = programs.workers.length * WORKER_ACCELERATORS;
    if (used > room / 2) busyAt = performance.now();
    if (performance.now() > busyAt + RECOVERY_BOUND) break;
    await sleep(POLL_INTERVAL);
  }
  for (const { job, lastState: shown } of open) {
    ledger.blame("LOST", `${job.id} does not end, shown as ${shown}`);
  }
  const present = programs.workers.flatMap((worker) => worker.listRuns());
  for (const { task, run } of open.length > 0 ? [] : present) {
    ledger.blame("UNASKED", `${task}#${run} still runs`);
  }
}
