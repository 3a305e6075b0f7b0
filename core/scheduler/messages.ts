/**
 * Messages between the leader and the agents, and what they describe.
 *
 * @module
 */

import type { Milliseconds } from "@dragonflyledge/model";

/** How a run ended, as its worker lists it. */
export const RunEnding = {
  Done: "done",
  Failed: "failed",
  Stopped: "stopped",
  Lapsed: "lapsed",
  Broken: "broken",
  Alone: "alone",
} as const;
export type RunEnding = typeof RunEnding[keyof typeof RunEnding];

/** A worker as its agent sees it. */
export interface WorkerState {
  /** Identity of this incarnation; differs after each restart. */
  key: string;
  /** Unix time of its start. A higher one replaces a lower one. */
  born: Milliseconds;
  service: string;
  rack: string;
  labels: string[];
  millicores: number;
  megabytes: number;
  accelerators: number;
  draining: boolean;
  /** Least time that is left to a draining worker. */
  remaining: Milliseconds;
  /** Whether calls to it are answered. */
  reachable: boolean;
}

/** A run that the worker lists as present. */
export interface RunningTask {
  task: string;
  run: number;
  checkpoint: string;
  /** Share of the work that is done, 0 to 100. */
  percent: number;
}

/** A run that the worker lists as ended. */
export interface EndedTask {
  /** Position in the worker's list of ends, from 1. */
  number: number;
  task: string;
  run: number;
  ending: RunEnding;
  checkpoint: string;
}

/** A start that the worker or the agent refused and that did not happen. */
export interface RefusedStart {
  task: string;
  run: number;
  reason: string;
}

/** A run by its task and number. */
export interface RunName {
  task: string;
  run: number;
}

/** State of an agent and its worker, sent on each change and at intervals. */
export interface AgentReport {
  kind: "report";
  /** Steady time of the agent when it sent this. */
  sentAt: Milliseconds;
  worker?: WorkerState;
  /** Whether `running` and `ended` come from an answer of this worker. */
  listed: boolean;
  running: RunningTask[];
  ended: EndedTask[];
  refused: RefusedStart[];
  /** Runs that are proven not to be on the worker, and never will be. */
  absent: RunName[];
  /**
   * No worker beside this agent can hold a lease: none is known, and those
   * that an earlier process may have given are over.
   */
  vacant: boolean;
  /** Keys of worker incarnations on which nothing runs any more. */
  emptied: string[];
}

/** A start that a leader orders. */
export interface StartOrder {
  task: string;
  run: number;
  spec: string;
  checkpoint: string;
}

/** All that the leader wants of one agent and that is not confirmed yet. */
export interface AgentOrders {
  kind: "orders";
  /** Grows with each change of the leader; workers refuse lower ones. */
  epoch: number;
  /** `sentAt` of the last report, from which the agent's grant counts. */
  answersReport: Milliseconds;
  /** Worker incarnation that the orders are for. */
  worker: string;
  starts: StartOrder[];
  stops: RunName[];
  /** Ends up to this number are stored. */
  acknowledged: number;
}

/** Identity of a run in maps. */
export function runKey(run: RunName): string {
  return `${run.task}#${run.run}`;
}
