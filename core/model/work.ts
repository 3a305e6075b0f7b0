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

/** A request for one endpoint of a service. */
export interface WorkRequest {
  id: RequestId;
  service: ServiceName;
  team: TeamName;
  class: ClassName;
  /** Monotonic time of the entry after which the answer is of no use. */
  deadline: Milliseconds;
  idempotent: boolean;
  idempotencyKey?: string;
  contentType: string;
  body: Uint8Array;
}

/** A gang job: `members` equal tasks that run all together or not at all. */
export interface JobSpec {
  team: TeamName;
  class: ClassName;
  members: number;
  /** Needs of each member. */
  perMember: Resources;
  adjacency: Adjacency;
  /** Whether members can be checkpointed and stopped to be resumed later. */
  revocable: boolean;
  idempotent: boolean;
  /** Declared run time, a hint only. */
  declaredRunTime: Milliseconds;
  /** What the worker runs. */
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

/** Record of a job as the store keeps it. */
export interface JobRecord {
  id: JobId;
  spec: JobSpec;
  /** ISO 8601, for people. */
  submitted: string;
  state: JobState;
  /** Fencing epoch; grows with each takeover and each start. */
  epoch: number;
  /** Entry that may start the job, or an empty string for none. */
  owner: string;
  /** Incarnation of the owner. */
  ownerIncarnation: number;
  /** Workers on which the job failed. */
  failedOn: string[];
  /** Whether a start was ever committed. */
  started: boolean;
  reason?: string;
}
