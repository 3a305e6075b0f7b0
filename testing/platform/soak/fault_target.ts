/**
 * What the faults of the soak act on, and what they have in common.
 *
 * @module
 */

import type { ProgramProcess, Programs } from "../programs.ts";
import type { ConfigurationVersions } from "./configuration_versions.ts";

/** What a fault acts on. */
export interface FaultTarget {
  programs: Programs;
  /** Draws a number between 0 and 1. */
  random: () => number;
  /** Processes that a fault ended and that are not yet started again. */
  down: Set<ProgramProcess>;
  /** Ids of workers, without incarnation, on which every new run fails. */
  failingWorkers: Set<string>;
  /** Failure domains of the agents. */
  zones: string[];
  /** Evacuated failure domains, and when the store took their keys. */
  evacuated: Map<string, number>;
  /** Indexes of the workers that were halted, until their agents are back. */
  returning: Set<number>;
  /** Halts the worker with this index. */
  haltWorker: (index: number) => void;
  /** Crashes the worker with this index. */
  crashWorker: (index: number) => void;
  /** Versions of the configuration that were written. */
  versions: ConfigurationVersions;
}

/** What a fault affects: names of processes, or "store". */
export type AffectedNames = string[];

/**
 * Injects one fault now and removes it again after `time` milliseconds. Returns
 * what is affected. Planned stops, worker faults and configurations return
 * nothing, since they excuse no broken guarantee.
 */
export type Fault = (
  target: FaultTarget,
  time: number,
) => Promise<AffectedNames> | AffectedNames;

export const sleep = (time: number) =>
  new Promise<void>((resolve) => {
    setTimeout(resolve, time);
  });

/** Picks an item of the list. */
export const pick = <T>({ random }: FaultTarget, list: readonly T[]): T =>
  list[Math.floor(random() * list.length)]!;

/** Lists all entries and agents. */
export const listProcesses = ({ programs }: FaultTarget) => [
  ...programs.entries,
  ...programs.agents,
];

export const toNames = (processes: ProgramProcess[]) =>
  processes.map(({ name }) => name);
