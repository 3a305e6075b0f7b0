/**
 * Reducer of an agent: leases, starts, stops and ends on one worker.
 *
 * @module
 */

export { grantLength } from "./grant.ts";
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
