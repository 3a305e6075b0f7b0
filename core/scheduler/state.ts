/**
 * State of the scheduler, owned by its reducer.
 *
 * @module
 */

import type { Fields, LogLevel, Milliseconds } from "@dragonflyledge/model";
import type {
  JobProgress,
  JobRequest,
  QueuePolicy,
  Step,
  TaskName,
} from "./job.ts";
import type {
  AgentOrders,
  AgentReport,
  EndedTask,
  WorkerState,
} from "./messages.ts";

/** Amounts of what tasks use and workers have. */
export interface Capacity {
  millicores: number;
  megabytes: number;
  accelerators: number;
}

/** A job with what this process knows of it beyond the record. */
export interface Job {
  request: JobRequest;
  progress: JobProgress;
  policy: QueuePolicy;
  cancelled: boolean;
  /** Grows with each change of `progress`. */
  version: number;
  /** Highest version that the store confirmed. */
  storedVersion: number;
  /** Runs that may occupy capacity. */
  runs: Set<Run>;
  /** When a step, named by occurrence and step, became ready. */
  readyAt: Map<string, Milliseconds>;
}

/** A start that was decided and is not known to be over. */
export interface Run {
  task: TaskName;
  /** Formatted `task`. */
  name: string;
  run: number;
  job: Job;
  step: Step;
  agent: string;
  worker: string;
  /** The run may be ordered once this version of the job is stored. */
  version: number;
  /** The worker listed it. */
  confirmed: boolean;
  stopping: boolean;
  percent: number;
  startedAt: Milliseconds;
}

/** A worker incarnation. */
export interface Worker {
  state: WorkerState;
  agent: string;
  used: Capacity;
  runs: Set<Run>;
  /** Nothing is started here before this time. */
  avoidUntil: Milliseconds;
  /** Failed runs since the last one that succeeded. */
  failures: number;
  /** Ends that wait for their job's version to be stored. */
  unstoredEnds: UnstoredEnd[];
  /** All ends up to this number are stored. */
  acknowledged: number;
  /** Highest number of an end that was applied. */
  appliedEnd: number;
}

/** An applied end and the version that holds it. */
export interface UnstoredEnd {
  number: number;
  job?: Job;
  version: number;
}

/** An agent and the worker beside it. */
export interface Agent {
  name: string;
  lastHeard: Milliseconds;
  /** Its grant has run out since it was last heard. */
  lost: boolean;
  worker?: Worker;
}

/** What the newest configuration says of queues and teams. */
export interface Policies {
  queues: Map<string, QueuePolicy>;
  /** Accelerators that belong to a team's urgent jobs. */
  guarantees: Map<string, number>;
}

/** Times that follow from the deployment's settings. */
export interface SchedulerTimes {
  /** Silence after which nothing runs under an agent any more. */
  agentLoss: Milliseconds;
  /** Agents that stay lost for this long are forgotten. */
  agentRetention: Milliseconds;
  /** Final jobs are kept for this long. */
  retention: Milliseconds;
}

/** State of the scheduler. */
export interface SchedulerState {
  times: SchedulerTimes;
  policies: Policies;
  jobs: Map<string, Job>;
  /** Jobs that are not final. */
  activeJobs: Set<Job>;
  agents: Map<string, Agent>;
  workers: Map<string, Worker>;
  runs: Map<string, Run>;
  /** Jobs with checkpoints that the store does not hold yet. */
  unsavedJobs: Set<Job>;
  /** When checkpoints were last given to the store. */
  checkpointsSavedAt: Milliseconds;
  /** Something changed that may let waiting work start. */
  planDue: boolean;
  /** Agents that are to be sent new orders. */
  changedAgents: Set<string>;
  /** Jobs whose progress is to be stored. */
  changedJobs: Set<Job>;
  effects: SchedulerEffect[];
}

/** What happens to the scheduler. */
export type SchedulerEvent =
  & { now: Milliseconds }
  & (
    | { kind: "policies"; policies: Policies }
    | { kind: "job"; request: JobRequest; progress?: JobProgress }
    | { kind: "cancel"; job: string; date: Milliseconds }
    | { kind: "agent"; agent: string }
    | { kind: "report"; agent: string; report: AgentReport; date: Milliseconds }
    | { kind: "stored"; job: string; version: number }
    | { kind: "tick"; date: Milliseconds }
  );

/** What the shell is to do. */
export type SchedulerEffect =
  | { kind: "store"; job: string }
  | { kind: "remove"; job: string }
  /** The agent is gone for good. */
  | { kind: "forget"; agent: string }
  | {
    kind: "orders";
    agent: string;
    orders: Omit<AgentOrders, "epoch" | "answersReport" | "kind">;
  }
  /** Tasks were placed `wait` after they had become ready. */
  | { kind: "placed"; priority: number; wait: Milliseconds }
  | { kind: "log"; level: LogLevel; text: string; fields: Fields };

/** Key of a step within its job, used for in-memory maps. */
export function stepKey(name: { occurrence: number; step: number }): string {
  return `${name.occurrence}.${name.step}`;
}

/** Whether an end was applied by this process already. */
export function isApplied(worker: Worker, ended: EndedTask): boolean {
  return ended.number <= worker.appliedEnd;
}
