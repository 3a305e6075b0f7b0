/**
 * Faults that the soak injects into processes, connections, the store and the
 * workers, without help of the programs under test.
 *
 * @module
 */

import type { Relay } from "@dragonflyledge/fakes";
import { createConfiguration } from "../programs.ts";
import type { ProgramProcess, Programs } from "../programs.ts";
import { WORKER_ACCELERATORS } from "./ledger.ts";

/**
 * Time between SIGTERM and SIGKILL in milliseconds; the default of the
 * settings.
 */
const STOP_GRACE = 6000;
/** Delay before an ended process is started again, in milliseconds. */
const RESTART_DELAY = 400;
/** Longest duration of a fault in milliseconds. */
export const MAX_FAULT_DURATION = 6000;

/** What a fault acts on. */
interface FaultTarget {
  programs: Programs;
  /** Draws a number between 0 and 1. */
  random: () => number;
  /** Processes that a fault ended and that are not yet started again. */
  down: Set<ProgramProcess>;
  /** Ids of workers, without incarnation, on which every new run fails. */
  failingWorkers: Set<string>;
  /** Crashes the worker with this index. */
  crashWorker: (index: number) => void;
  /** Newest configuration version, and when the store took it. */
  version: { current: number; acknowledgedAt: number };
}

/** What a fault affects: names of processes, or "store". */
type AffectedNames = string[];

/**
 * Injects one fault now and removes it again after `time` milliseconds. Returns
 * what is affected. Planned stops, worker faults and configurations return
 * nothing, since they excuse no broken guarantee.
 */
export type Fault = (
  target: FaultTarget,
  time: number,
) => Promise<AffectedNames> | AffectedNames;

const sleep = (time: number) =>
  new Promise<void>((resolve) => {
    setTimeout(resolve, time);
  });

const pick = <T>({ random }: FaultTarget, list: readonly T[]): T =>
  list[Math.floor(random() * list.length)]!;

const listProcesses = ({ programs }: FaultTarget) => [
  ...programs.entries,
  ...programs.agents,
];

const toNames = (processes: ProgramProcess[]) =>
  processes.map(({ name }) => name);

function isRunning({ child }: ProgramProcess): boolean {
  return child.exitCode === null && child.signalCode === null;
}

/**
 * Sends the signal to the process and starts it again after it has ended. One
 * that still runs after STOP_GRACE is killed.
 */
function restart(
  { down }: FaultTarget,
  process: ProgramProcess,
  signal: "SIGKILL" | "SIGTERM",
): void {
  if (down.has(process) || !isRunning(process)) return;
  down.add(process);
  const { child } = process;
  const killTimeout = setTimeout(() => child.kill("SIGKILL"), STOP_GRACE);
  child.once("exit", async () => {
    clearTimeout(killTimeout);
    await sleep(RESTART_DELAY);
    process.start();
    down.delete(process);
  });
  child.kill(signal);
}

function pauseProcess(
  target: FaultTarget,
  process: ProgramProcess,
  time: number,
): AffectedNames {
  const { child } = process;
  if (target.down.has(process) || !isRunning(process)) return [];
  child.kill("SIGSTOP");
  setTimeout(() => child.kill("SIGCONT"), time);
  return [process.name];
}

function findLeader(target: FaultTarget): ProgramProcess {
  const { store, entries } = target.programs;
  const name = store.get("dragonflyledge/out/leader");
  return entries.find((entry) => entry.name === name) ?? pick(target, entries);
}

/** Picks a relay of any process, and names what its faults affect. */
function pickRelay(
  target: FaultTarget,
): { relay: Relay; affected: AffectedNames } {
  const process = pick(target, listProcesses(target));
  const kind = pick(target, ["store", "links", "worker"] as const);
  const relay = process.relays[kind] ?? process.relays.links;
  // The other end of a link is not known here, so all processes count.
  const affected = kind === "store"
    ? [process.name]
    : toNames(listProcesses(target));
  return { relay, affected };
}

function pickDirection(target: FaultTarget) {
  return pick(target, ["to-target", "to-caller", "both"] as const);
}

function createStoreFault(
  set: (target: FaultTarget, on: boolean) => void,
): Fault {
  return (target, time) => {
    set(target, true);
    setTimeout(() => set(target, false), time);
    return ["store", ...toNames(listProcesses(target))];
  };
}

/** All faults by the name that `--faults` takes. */
export const FAULTS: Record<string, Fault> = {
  /** Kills an entry. */
  killEntry: (target) => {
    const process = pick(target, target.programs.entries);
    restart(target, process, "SIGKILL");
    return [process.name];
  },
  /** Kills the leading entry, or any entry if none leads. */
  killLeader: (target) => {
    const process = findLeader(target);
    restart(target, process, "SIGKILL");
    return [process.name];
  },
  /** Kills an agent. */
  killAgent: (target) => {
    const process = pick(target, target.programs.agents);
    restart(target, process, "SIGKILL");
    return [process.name];
  },
  /** Kills all processes at the same time. */
  killAll: (target) => {
    const processes = listProcesses(target);
    for (const process of processes) restart(target, process, "SIGKILL");
    return toNames(processes);
  },
  /** Stops a process with SIGTERM. */
  stopOne: (target) => {
    const process = pick(target, listProcesses(target));
    restart(target, process, "SIGTERM");
    return [];
  },
  /** Stops all entries or all agents, one each second. */
  stopInTurn: async (target) => {
    const { entries, agents } = target.programs;
    for (const process of target.random() < 0.5 ? entries : agents) {
      restart(target, process, "SIGTERM");
      await sleep(1000);
    }
    return [];
  },
  /** Pauses a process with SIGSTOP. */
  pauseOne: (target, time) =>
    pauseProcess(target, pick(target, listProcesses(target)), time),
  /** Pauses the leading entry, or any entry if none leads. */
  pauseLeader: (target, time) => pauseProcess(target, findLeader(target), time),
  /** The store answers no calls and does nothing. */
  storeSilent: createStoreFault(({ programs }, on) =>
    programs.store.silent = on
  ),
  /** The store refuses calls with 503. */
  storeBusy: createStoreFault(({ programs }, on) => programs.store.busy = on),
  /** The store answers 400 ms late. */
  storeSlow: createStoreFault(({ programs }, on) => {
    programs.store.delay = on ? 400 : 0;
  }),
  /**
   * The store leaves 30 % of the writes without an answer; these take effect
   * at once or 2.5 s late.
   */
  storeLoses: createStoreFault(({ programs, random }, on) => {
    programs.store.lost = on ? 0.3 : 0;
    programs.store.lostWriteDelay = random() < 0.5 ? 0 : 2500;
  }),
  /** The store drops its history, so that watches have to start anew. */
  storeForgets: (target) => {
    target.programs.store.compact();
    return ["store"];
  },
  /** Closes the connections of a relay. */
  cut: (target) => {
    const { relay, affected } = pickRelay(target);
    relay.cut();
    return affected;
  },
  /** Stops the open connections of a relay from carrying data. */
  silence: (target) => {
    const { relay, affected } = pickRelay(target);
    relay.silence(pickDirection(target));
    return affected;
  },
  /** Delays the data of a relay by 800 ms. */
  delay: (target, time) => {
    const { relay, affected } = pickRelay(target);
    const direction = pickDirection(target);
    relay.delay(800, direction);
    setTimeout(() => relay.delay(0, direction), time);
    return affected;
  },
  /** Separates both ends of a relay, on open and new connections. */
  part: (target, time) => {
    const { relay, affected } = pickRelay(target);
    relay.silence();
    relay.mute(true);
    setTimeout(() => {
      relay.mute(false);
      relay.cut();
    }, time);
    return affected;
  },
  /** Closes the connections of a relay and refuses new ones. */
  refuse: (target, time) => {
    const { relay, affected } = pickRelay(target);
    relay.cut();
    relay.refuse(true);
    setTimeout(() => relay.refuse(false), time);
    return affected;
  },
  /** Crashes a worker; it comes back as another incarnation. */
  crashWorker: (target) => {
    const { workers } = target.programs;
    target.crashWorker(Math.floor(target.random() * workers.length));
    return [];
  },
  /** Takes accelerators from a worker while it runs, and gives them back. */
  shrinkWorker: (target, time) => {
    const worker = pick(target, target.programs.workers);
    worker.resize(Math.floor(target.random() * WORKER_ACCELERATORS));
    setTimeout(() => worker.resize(WORKER_ACCELERATORS), time);
    return [];
  },
  /** Drains a worker, then crashes it. */
  drainWorker: (target, time) => {
    const worker = pick(target, target.programs.workers);
    worker.drain();
    setTimeout(() => worker.crash(), Math.max(time, 2500));
    return [];
  },
  /** Makes every run that starts on a worker fail. */
  failingWorker: (target, time) => {
    const worker = `i-${
      Math.floor(target.random() * target.programs.workers.length)
    }`;
    target.failingWorkers.add(worker);
    setTimeout(() => target.failingWorkers.delete(worker), time);
    return [];
  },
  /** Writes a new configuration. */
  configure: ({ programs, version }) => {
    programs.store.put("op/config", createConfiguration(++version.current));
    version.acknowledgedAt = performance.now();
    return [];
  },
  /** Writes five configurations, one each 300 ms. */
  configureOften: async ({ programs, version }) => {
    for (let count = 0; count < 5; count++) {
      programs.store.put("op/config", createConfiguration(++version.current));
      version.acknowledgedAt = performance.now();
      await sleep(300);
    }
    return [];
  },
};
