/**
 * Effects of the scheduler, which the process around its reducer carries out.
 *
 * @module
 */

import type { Fields, LogLevel, Milliseconds } from "@dragonflyledge/model";
import type { FailureCode } from "./job.ts";
import type { AgentOrders } from "./messages.ts";

/** Whether tasks are predicted, when they are placed, to end late. */
export const Lateness = {
  None: "none",
  /** More likely than not, on the workers they were placed on. */
  Likely: "likely",
  /** On any worker. */
  Certain: "certain",
} as const;
export type Lateness = typeof Lateness[keyof typeof Lateness];

/** Why a crash does not speak against a task that was on the worker. */
export const Excuse = {
  /** An idle worker ended at the same moment. */
  Outside: "outside cause",
  /** A job was given up for this crash. */
  GivenUp: "a job was given up",
  /** Other workers ended at the same moment. */
  Shared: "other workers",
  /** The worker crashed by itself before. */
  Unstable: "unstable worker",
  /** Other runs had begun on the worker more recently. */
  OthersBegan: "others began later",
  /** The run had worked for long, to another point than before. */
  LongWork: "long work",
} as const;
export type Excuse = typeof Excuse[keyof typeof Excuse];

/** Output of the reducer: what the process around it is to do. */
export type SchedulerEffect =
  | { kind: "store"; job: string }
  | { kind: "remove"; job: string }
  /** Pass the event `plan` after `delay`. */
  | { kind: "planLater"; delay: Milliseconds }
  /** Remove the agent's address; it was lost for the retention time. */
  | { kind: "forget"; agent: string }
  | {
    kind: "orders";
    agent: string;
    orders: Omit<AgentOrders, "epoch" | "kind">;
  }
  /** Measure that tasks were placed `wait` after they had become ready. */
  | {
    kind: "placed";
    priority: number;
    guaranteed: boolean;
    wait: Milliseconds;
    lateness: Lateness;
  }
  /** Count a worker that crashed with runs, `begun` of them just begun. */
  | { kind: "workerCrashed"; begun: number }
  /** Count a crash that does not speak against a task on the worker. */
  | { kind: "crashExcused"; excuse: Excuse }
  /** Count a task that is or is no longer suspected of crashing workers. */
  | { kind: "suspicion"; change: "raised" | "cleared" }
  /** Show how many pairs of kinds of tasks are kept apart. */
  | { kind: "interference"; pairs: number }
  /** Count a job that failed. */
  | { kind: "jobFailed"; code: FailureCode }
  | { kind: "log"; level: LogLevel; text: string; fields: Fields };
