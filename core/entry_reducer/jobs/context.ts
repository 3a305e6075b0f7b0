/**
 * The context in which one event is handled, and helpers of the job modules
 * for its effects.
 *
 * @module
 */

import type {
  EntryMessage,
  Fields,
  JobState,
  LogLevel,
  Milliseconds,
  WorkerId,
} from "@dragonflyledge/model";
import type { Emit, EntryState } from "../state.ts";
import type { Job, JobsState } from "./state.ts";

/** State, time and effects of the event that is being handled. */
export interface Context {
  state: EntryState;
  jobs: JobsState;
  now: Milliseconds;
  emit: Emit;
}

/** Sends a message to an agent. Returns false if it is not connected. */
export function send(
  context: Context,
  worker: WorkerId,
  message: EntryMessage,
): boolean {
  const agent = context.state.agents.get(worker);
  if (agent === undefined || !agent.connected) return false;
  const { incarnation } = agent;
  context.emit({ kind: "send", worker, incarnation, message });
  return true;
}

/** Records a change of a job in the audit trail, with its epoch. */
export function audit(
  context: Context,
  job: Job,
  fields: { kind: string; reason: string; worker?: WorkerId; detail?: Fields },
): void {
  context.emit({
    kind: "audit",
    record: {
      kind: fields.kind,
      team: job.record.spec.team,
      worker: fields.worker ?? "",
      job: job.record.id,
      reason: fields.reason,
      actor: context.state.id,
      detail: { epoch: job.record.epoch, ...fields.detail },
    },
  });
}

/** Writes a log line. `text` is a sentence without its full stop. */
export function log(
  context: Context,
  level: LogLevel,
  text: string,
  fields: Fields,
): void {
  context.emit({ kind: "log", level, text: `${text}.`, fields });
}

/** Requests all job records from the store; `jobsLoaded` answers. */
export function requestLoad({ jobs, emit }: Context): void {
  jobs.loading = true;
  emit({ kind: "loadJobs" });
}

/** Sets the timer of the job, unless it is already due earlier. */
export function setJobTimer(
  context: Context,
  job: Job,
  at: Milliseconds,
): void {
  if (job.timerAt <= at && job.timerAt > context.now) return;
  job.timerAt = at;
  context.jobs.timers.set(at, job);
}

/** Returns now plus a random delay of 0.5 to 1.5 times the given one. */
export function jittered(context: Context, delay: Milliseconds): Milliseconds {
  return context.now + delay * (0.5 + context.state.random());
}

/** Whether a job in this state has ended, so that its record never changes. */
export function hasEnded(state: JobState): boolean {
  return state === "succeeded" || state === "failed" ||
    state === "cancelled" || state === "unknown";
}
