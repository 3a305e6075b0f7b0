/**
 * Cancellation of jobs.
 *
 * @module
 */

import { MINUTE, Reason } from "@dragonflyledge/model";
import type { EntryEvent, JobId, JobRecord } from "@dragonflyledge/model";
import { hasEnded } from "./context.ts";
import type { Context } from "./context.ts";
import { endJob } from "./endings.ts";
import { stopGang } from "./run.ts";
import type { Job } from "./state.ts";
import { isCancelRequest, persist } from "./writes.ts";

/**
 * A cancellation of an unknown job is kept for this long. A write of the job's
 * record whose answer was lost can't take effect later.
 */
const cancelRetention = 10 * MINUTE;
/** Number of pending cancellations; further requests are ignored. */
const cancelLimit = 10_000;

/**
 * Handles the request to cancel a job. If another entry owns the job, the
 * request is written into the record.
 */
export function cancelJob(context: Context, id: JobId): void {
  const { jobs, now } = context;
  const job = jobs.jobs.get(id);
  if (job !== undefined) return cancelOwn(context, job);
  if (jobs.ended.has(id) || jobs.cancels.has(id)) return;
  if (jobs.cancels.size >= cancelLimit) return;
  jobs.cancels.set(id, {
    state: "stopping",
    reason: Reason.Cancelled,
    since: now,
    write: 0,
  });
  const foreign = jobs.foreign.get(id);
  // The short delay lets many cancellations at once share one load.
  if (foreign === undefined) jobs.nextLoad = Math.min(jobs.nextLoad, now + 100);
  else applyCancel(context, id, foreign.record, foreign.revision);
}

/** Cancels a job of this entry; a running gang is stopped first. */
export function cancelOwn(context: Context, job: Job): void {
  if (job.phase === "ended") return;
  job.cancelled = true;
  if (job.phase === "queued") {
    return endJob(context, job, "cancelled", Reason.Cancelled);
  }
  if (job.gang === undefined) return;
  if (job.gang.phase !== "stopping") {
    const reason = Reason.Cancelled;
    return stopGang(context, job, { kind: "cancelled", reason });
  }
  if (isCancelRequest(job.record)) return;
  job.record = { ...job.record, state: "stopping", reason: "cancelled" };
  persist(context, job);
}

/**
 * Writes a pending cancellation into the record of another entry's job, or
 * drops it if the job has ended or the record already has it.
 */
export function applyCancel(
  context: Context,
  id: JobId,
  record: JobRecord,
  revision: number,
): void {
  const { jobs } = context;
  const cancel = jobs.cancels.get(id);
  if (cancel === undefined || cancel.write !== 0) return;
  const done = hasEnded(record.state) ||
    isCancelRequest(record);
  if (done) {
    jobs.cancels.delete(id);
    return;
  }
  cancel.write = ++jobs.writes;
  const { state, reason } = cancel;
  context.emit({
    kind: "writeJob",
    write: cancel.write,
    record: { ...record, state, reason },
    revision,
  });
}

/** Handles the result of a write that `applyCancel` sent. */
export function handleCancelWritten(
  context: Context,
  event: Extract<EntryEvent, { kind: "jobWritten" }>,
): void {
  const { jobs } = context;
  const cancel = jobs.cancels.get(event.job);
  if (cancel === undefined || cancel.write !== event.write) return;
  cancel.write = 0;
  if (event.result === "stored") jobs.cancels.delete(event.job);
  if (event.result !== "conflict" || event.current === undefined) return;
  applyCancel(context, event.job, event.current, event.revision);
}

/** Drops old cancellations that could not be written into a record. */
export function dropOldCancels(context: Context): void {
  const { jobs, now } = context;
  for (const [id, cancel] of jobs.cancels) {
    if (now > cancel.since + cancelRetention) jobs.cancels.delete(id);
  }
}
