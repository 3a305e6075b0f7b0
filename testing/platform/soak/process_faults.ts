/**
 * Faults of processes: signals that kill, stop and pause them.
 *
 * @module
 */

import type { ProgramProcess } from "../programs.ts";
import { listProcesses, pick, sleep, toNames } from "./fault_target.ts";
import type { AffectedNames, Fault, FaultTarget } from "./fault_target.ts";

/**
 * Time between SIGTERM and SIGKILL in milliseconds; the default of the
 * settings.
 */
const STOP_GRACE = 6000;
/** Delay before an ended process is started again, in milliseconds. */
const RESTART_DELAY = 400;
function isRunning({ child }: ProgramProcess): boolean {
  return child.exitCode === null && child.signalCode === null;
}

/**
 * Sends the signal to the process and starts it again after it has ended. One
 * that still runs after STOP_GRACE is killed.
 */
export function restart(
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

/** Stops the process for `time` milliseconds, if it runs. */
export function pauseProcess(
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

/** Returns the leading entry, or any entry if none leads. */
export function findLeader(target: FaultTarget): ProgramProcess {
  const { store, entries } = target.programs;
  const name = store.get("dragonflyledge/out/leader");
  return entries.find((entry) => entry.name === name) ?? pick(target, entries);
}

/** Faults of processes by name. */
export const PROCESS_FAULTS: Record<string, Fault> = {
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
};
