/**
 * Requests and gang jobs as callers submit them.
 *
 * @module
 */

import type { Adjacency } from "./configuration.ts";
import type {
  ClassName,
  JobId,
  RequestId,
  Resources,
  ServiceName,
  TeamName,
} from "./resources.ts";
import type { Milliseconds } from "./clock.ts";

/** A request that one endpoint of a service is to answer. */
export interface WorkRequest {
  id: RequestId;
  service: ServiceName;
  team: TeamName;
  class: ClassName;
  /** Monotonic time of the entry after which the caller no longer waits. */
  deadline: Milliseconds;
  /** Whether the work may safely run more than once. */
  idempotent: boolean;
  /** Key under which repeats of the request get the same outcome. */
  idempotencyKey?: string;
  contentType: string;
  body: Uint8Array;
}

/** A gang job: equal tasks, called members, that run all together or not at all. */
export interface JobSpec {
  team: TeamName;
  class: ClassName;
  /** Number of members. */
  members: number;
  /** Resources that each member needs. */
  perMember: Resources;
  /**
   * `worker`: the accelerators of each member form an aligned block. `rack`: all
   * members run in one rack.
   */
  adjacency: Adjacency;
  /** Whether members can be checkpointed and stopped, to be resumed later. */
  revocable: boolean;
  /** Whether the job may safely run more than once. */
  idempotent: boolean;
  /** Run time that the caller expects; only a hint. */
  declaredRunTime: Milliseconds;
  /** Command that the worker runs for each member. */
  command: string;
}

/** State of a job. */
export const JobState = {
  Queued: "queued",
  Placing: "placing",
  Running: "running",
  Stopping: "stopping",
  Succeeded: "succeeded",
  Failed: "failed",
  Cancelled: "cancelled",
  Unknown: "unknown",
} as const;
export type JobState = typeof JobState[keyof typeof JobState];

/** Record of a job in the store. */
export interface JobRecord {
  id: JobId;
  spec: JobSpec;
  /** Wall-clock time of submission, ISO 8601, for people. */
  submitted: string;
  state: JobState;
  /** Grows with each takeover and each start, and fences runs of lower epochs. */
  epoch: number;
  /** The only entry that may start the job, or an empty string for none. */
  owner: string;
  /** Incarnation of the owner. */
  ownerIncarnation: number;
  /** Workers on which the job failed. */
  failedOn: string[];
  /** Whether a start was ever committed. */
  started: boolean;
  /** Why the job is in its state, where that needs a reason. */
  reason?: string;
}
