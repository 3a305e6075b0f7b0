/**
 * Reducer of an agent. It extends the lease of one worker, starts and stops
 * runs on it, and reports to the leader what runs and what has ended.
 *
 * @module
 */

export { latestToken } from "./fence.ts";
export { grantLength } from "./grant.ts";
export { longestUnlistedTime } from "./run_control.ts";
export { createWorkerControl } from "./reducer.ts";
export type { WorkerControl } from "./reducer.ts";
export type {
  Announcement,
  ControlEffect,
  ControlEvent,
  ControlState,
  ControlTimes,
  StartOutcome,
} from "./state.ts";
