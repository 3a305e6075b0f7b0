/**
 * Faults that are injected from outside the programs.
 *
 * @module
 */

import type { Relay } from "@dragonflyledge/fakes";
import { createConfiguration } from "../programs.ts";
import type { ProgramProcess, Programs } from "../programs.ts";

/** Time between SIGTERM and SIGKILL; the default of the settings. */
const STOP_GRACE = 6000;
/** A stopped or killed process is started again after this. */
const RESTART_DELAY = 400;
/** Longest time for which a fault holds. */
export const MAX_FAULT_DURATION = 6000;

/** Where a fault strikes, and how. */
interface FaultContext {
  programs: Programs;
  /** Draws a number between 0 and 1. */
  random: () => number;
  /** Processes that are down on purpose. */
  down: Set<ProgramProcess>;
  /** Workers whose tasks fail. */
  failingWorkers: Set<string>;
  version: { current: number; acknowledgedAt: number };
}

/** What a fault struck: names of processes, or "store". */
type AffectedNames = string[];

/** Strikes now, and undoes it after `time` by itself. */
export type Fault = (
  target: FaultContext,
  time: number,
) => Promise<AffectedNames> | AffectedNames;

const sleep = (time: number) =>
  new Promise<void>((resolve) => {
    setTimeout(resolve, time);
  });

const pick = <T>({ random }: FaultContext, list: readonly T[]): T =>
  list[Math.floor(random() * list.length)]!;

const listProcesses = ({ programs }: FaultContext) => [
  ...programs.entries,
  ...programs.agents,
];

const toNames = (seats: ProgramProcess[]) => seats.map(({ name }) => name);

function isRunning({ child }: ProgramProcess): boolean {
  return child.exitCode === null && child.signalCode === null;
}

/** Ends the process, and starts it again when it is gone. */
function restartProcess(
  { down }: FaultContext,
  seat: ProgramProcess,
  signal: "SIGKILL" | "SIGTERM",
): void {
  if (down.has(seat) || !isRunning(seat)) return;
  down.add(seat);
  const { child } = seat;
  const killing = setTimeout(() => child.kill("SIGKILL"), STOP_GRACE);
  child.once("exit", async () => {
    clearTimeout(killing);
    await sleep(RESTART_DELAY);
    seat.start();
    down.delete(seat);
  });
  child.kill(signal);
}

function pauseProcess(
  target: FaultContext,
  seat: ProgramProcess,
  time: number,
): AffectedNames {
  const { child } = seat;
  if (target.down.has(seat) || !isRunning(seat)) return [];
  child.kill("SIGSTOP");
  setTimeout(() => child.kill("SIGCONT"), time);
  return [seat.name];
}

function findLeader(target: FaultContext): ProgramProcess {
  const { store, entries } = target.programs;
  const name = store.get("dragonflyledge/out/leader");
  return entries.find((entry) => entry.name === name) ?? pick(target, entries);
}

/** A relay of any process, and the processes that its faults touch. */
function pickRelay(
  target: FaultContext,
): { relay: Relay; struck: AffectedNames } {
  const seat = pick(target, listProcesses(target));
  const kind = pick(target, ["store", "links", "worker"] as const);
  const relay = seat.relays[kind] ?? seat.relays.links;
  // The process at the other end of a link is not known here.
  const struck = kind === "store"
    ? [seat.name]
    : toNames(listProcesses(target));
  return { relay, struck };
}

function pickDirection(target: FaultContext) {
  return pick(target, ["to-target", "to-caller", "both"] as const);
}

function createStoreFault(
  set: (target: FaultContext, on: boolean) => void,
): Fault {
  return (target, time) => {
    set(target, true);
    setTimeout(() => set(target, false), time);
    return ["store", ...toNames(listProcesses(target))];
  };
}

/** Faults by name. */
export const FAULTS: Record<string, Fault> = {
  killEntry: (target) => {
    const seat = pick(target, target.programs.entries);
    restartProcess(target, seat, "SIGKILL");
    return [seat.name];
  },
  killLeader: (target) => {
    const seat = findLeader(target);
    restartProcess(target, seat, "SIGKILL");
    return [seat.name];
  },
  killAgent: (target) => {
    const seat = pick(target, target.programs.agents);
    restartProcess(target, seat, "SIGKILL");
    return [seat.name];
  },
  killAll: (target) => {
    const seats = listProcesses(target);
    for (const seat of seats) restartProcess(target, seat, "SIGKILL");
    return toNames(seats);
  },
  stopOne: (target) => {
    const seat = pick(target, listProcesses(target));
    restartProcess(target, seat, "SIGTERM");
    return [];
  },
  stopInTurn: async (target) => {
    const { entries, agents } = target.programs;
    for (const seat of target.random() < 0.5 ? entries : agents) {
      restartProcess(target, seat, "SIGTERM");
      await sleep(1000);
    }
    return [];
  },
  pauseOne: (target, time) =>
    pauseProcess(target, pick(target, listProcesses(target)), time),
  pauseLeader: (target, time) => pauseProcess(target, findLeader(target), time),
  storeSilent: createStoreFault(({ programs }, on) =>
    programs.store.silent = on
  ),
  storeBusy: createStoreFault(({ programs }, on) => programs.store.busy = on),
  storeSlow: createStoreFault(({ programs }, on) => {
    programs.store.delay = on ? 400 : 0;
  }),
  storeLoses: createStoreFault(({ programs, random }, on) => {
    programs.store.lost = on ? 0.3 : 0;
    programs.store.lostWriteDelay = random() < 0.5 ? 0 : 2500;
  }),
  storeForgets: (target) => {
    target.programs.store.compact();
    return ["store"];
  },
  cut: (target) => {
    const { relay, struck } = pickRelay(target);
    relay.cut();
    return struck;
  },
  silence: (target) => {
    const { relay, struck } = pickRelay(target);
    relay.silence(pickDirection(target));
    return struck;
  },
  delay: (target, time) => {
    const { relay, struck } = pickRelay(target);
    const direction = pickDirection(target);
    relay.delay(800, direction);
    setTimeout(() => relay.delay(0, direction), time);
    return struck;
  },
  part: (target, time) => {
    const { relay, struck } = pickRelay(target);
    relay.silence();
    relay.mute(true);
    setTimeout(() => {
      relay.mute(false);
      relay.cut();
    }, time);
    return struck;
  },
  refuse: (target, time) => {
    const { relay, struck } = pickRelay(target);
    relay.cut();
    relay.refuse(true);
    setTimeout(() => relay.refuse(false), time);
    return struck;
  },
  crashWorker: (target) => {
    pick(target, target.programs.workers).crash();
    return [];
  },
  drainWorker: (target, time) => {
    const worker = pick(target, target.programs.workers);
    worker.drain();
    setTimeout(() => worker.crash(), Math.max(time, 2500));
    return [];
  },
  failingWorker: (target, time) => {
    const worker = `i-${
      Math.floor(target.random() * target.programs.workers.length)
    }`;
    target.failingWorkers.add(worker);
    setTimeout(() => target.failingWorkers.delete(worker), time);
    return [];
  },
  configure: ({ programs, version }) => {
    programs.store.put("op/config", createConfiguration(++version.current));
    version.acknowledgedAt = performance.now();
    return [];
  },
  configureOften: async ({ programs, version }) => {
    for (let count = 0; count < 5; count++) {
      programs.store.put("op/config", createConfiguration(++version.current));
      version.acknowledgedAt = performance.now();
      await sleep(300);
    }
    return [];
  },
};
