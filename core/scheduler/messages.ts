/**
 * Messages between the leader and the agents, and the types they carry.
 *
 * @module
 */

import type { Milliseconds } from "@dragonflyledge/model";

/** Amounts of each resource that a task uses or a worker has. */
export interface Capacity {
  millicores: number;
  megabytes: number;
  accelerators: number;
}

/** What is known of how fast a worker is, without transient slow-downs. */
export interface KnownRate {
  /** Logarithm of its rate, relative to the median worker. */
  mean: number;
  /** Variance of that estimate. */
  variance: number;
}

/** Numbers that a leader can give to the holders of one agent. */
export const FENCES_PER_EPOCH = 2 ** 16;

/**
 * Number of a holder: one process of an agent together with the worker
 * incarnation that it controls. Calls of later holders have higher numbers
 * within an epoch, and workers refuse the lower ones.
 */
export interface Fence {
  holder: string;
  number: number;
}

/** How a run ended, as its worker lists it. */
export const RunEnding = {
  Done: "done",
  Failed: "failed",
  /** The worker stopped the run on an order. */
  Stopped: "stopped",
  /** The run's lease expired. */
  Lapsed: "lapsed",
  /** Another member of the gang ended without success. */
  Broken: "broken",
  /** The other members of the gang did not start in time. */
  Alone: "alone",
} as const;
export type RunEnding = typeof RunEnding[keyof typeof RunEnding];

/** A worker as its agent sees it. */
export interface WorkerState {
  /** Identity of this worker incarnation; differs after each restart. */
  key: string;
  /** Unix time at which the incarnation started; the latest one is valid. */
  born: Milliseconds;
  service: string;
  rack: string;
  /** Undefined if the agent's settings name none, and in older builds. */
  failureDomain?: string;
  labels: string[];
  millicores: number;
  megabytes: number;
  accelerators: number;
  /**
   * Most of each resource that the incarnation has announced; undefined in
   * reports of older builds.
   */
  full?: Capacity;
  draining: boolean;
  /** Shortest time, in milliseconds, that a draining worker has left. */
  remaining: Milliseconds;
  /**
   * Time for which the worker is still cold after its start; undefined in
   * reports of older builds.
   */
  warmupLeft?: Milliseconds;
  /** Whether the worker answers the agent's calls. */
  reachable: boolean;
}

/** A run that the worker lists as running. */
export interface RunningTask {
  task: string;
  run: number;
  checkpoint: string;
  /** Share of the work that is done, from 0 to 100. */
  percent: number;
}

/** A run that the worker lists as ended. */
export interface EndedTask {
  /** Position in the worker's list of ended runs, from 1. */
  number: number;
  task: string;
  run: number;
  ending: RunEnding;
  checkpoint: string;
}

/** A start that the worker or its agent refused; the run never began. */
export interface RefusedStart {
  task: string;
  run: number;
  reason: string;
}

/** Names a run by its task and run number. */
export interface RunName {
  task: string;
  run: number;
}

/** A run that may have been at work on a worker that crashed. */
export interface CrashedRun extends RunName {
  /**
   * Time for which the run is known to have been on the worker, from the first
   * answer that shows it until the worker last showed that it lives; 0 if none
   * does.
   */
  workedFor: Milliseconds;
}

/** When a worker ended or fell silent, as times before the report. */
export interface WorkerSilence {
  /** Time since it last showed that it lives. */
  aliveAgo: Milliseconds;
  /** Time since a call to it first failed. */
  failedAgo: Milliseconds;
}

/** A worker incarnation that ended without notice. */
export interface WorkerCrash {
  /** Key of the incarnation. */
  worker: string;
  /** Every run that may have been on it; runs that never reached it are not. */
  runs: CrashedRun[];
  /** Undefined in reports of older builds. */
  silence?: WorkerSilence;
}

/**
 * State of an agent and its worker. The agent sends it on each change and at
 * intervals.
 */
export interface AgentReport {
  kind: "report";
  /** Time on the agent's clock, with suspensions, when it sent the report. */
  sentAt: Milliseconds;
  /**
   * Names the agent's process and the worker incarnation that it controls, for
   * the leader to number their calls; undefined in reports of older builds.
   */
  holder?: string;
  /**
   * Longest time after the report for which a run may be at work on the worker
   * if no grant follows; undefined in reports of older builds.
   */
  leaseLeft?: Milliseconds;
  worker?: WorkerState;
  /** Whether `running` and `ended` come from an answer of `worker`. */
  listed: boolean;
  running: RunningTask[];
  /**
   * Worker's monotonic clock when it made the lists. Undefined without lists,
   * and in reports of older builds.
   */
  listClock?: Milliseconds;
  /**
   * Those of `running` that have not settled: the worker has not listed them
   * for SETTLE_TIME yet. Undefined in reports of older builds.
   */
  unsettled?: RunName[];
  /**
   * Runs of which a start call has no answer, so that a later incarnation may
   * carry it out; undefined in reports of older builds.
   */
  openStarts?: RunName[];
  ended: EndedTask[];
  /**
   * Whether `ended` holds all ends that are not acknowledged; undefined in
   * reports of older builds.
   */
  allEnds?: boolean;
  refused: RefusedStart[];
  /** Runs that are proven not to run on the worker, now or later. */
  absent: RunName[];
  /**
   * Whether no worker beside this agent can hold a lease: no worker is known,
   * and leases that an earlier agent process may have granted have expired.
   */
  vacant: boolean;
  /** Keys of worker incarnations on which no run is left. */
  emptied: string[];
  /**
   * The latest crashes of workers beside this agent, repeated so that a new
   * leader hears of them; undefined in reports of older builds.
   */
  crashes?: WorkerCrash[];
  /** Set while calls to the worker fail. */
  silence?: WorkerSilence;
  /**
   * Rate of the worker, as a leader last told it, for the next leader.
   * Undefined before, and in reports of older builds.
   */
  rate?: KnownRate;
}

/** A start that a leader orders. */
export interface StartOrder {
  task: string;
  run: number;
  spec: string;
  checkpoint: string;
}

/** All orders of the leader to one agent that are not confirmed yet. */
export interface AgentOrders {
  kind: "orders";
  /** Grows with each change of leader; workers refuse lower epochs. */
  epoch: number;
  /** `sentAt` of the last report; the agent's grant starts at that time. */
  answersReport: Milliseconds;
  /**
   * Number of the holder in the latest report; undefined in orders of older
   * builds.
   */
  fence?: Fence;
  /** Key of the worker incarnation that the orders are for. */
  worker: string;
  /**
   * Capacity of the worker on which the starts were decided; undefined without
   * starts, and in orders of older builds.
   */
  capacity?: Capacity;
  starts: StartOrder[];
  /**
   * Further starts that are decided and that a later message will order, since
   * one message can't hold all; undefined in orders of older builds.
   */
  later?: RunName[];
  stops: RunName[];
  /** Ended runs up to this number are stored. */
  acknowledged: number;
  /**
   * Rate of the worker, for the agent to return with its reports. Undefined if
   * the answered report holds it already, and in orders of older builds.
   */
  rate?: KnownRate;
}

/** Formats a run's task and number as a key for maps. */
export function runKey(run: RunName): string {
  return `${run.task}#${run.run}`;
}
