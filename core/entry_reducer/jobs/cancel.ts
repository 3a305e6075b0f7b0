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

/** A write whose answer was lost cannot take effect after this time. */
const cancelRetention = 10 * MINUTE;
const cancelLimit = 10_000;

/** Cancels a job of this entry, or asks its owner through the record. */
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
  // A wave of cancellations leads to one load.
  if (foreign === undefined) jobs.nextLoad = Math.min(jobs.nextLoad, now + 100);
  else applyCancel(context, id, foreign.record, foreign.revision);
}

/** Cancels a job that this entry owns. */
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

/** Writes the cancellation into a record that this entry doesn't own. */
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

/** Takes the result of a write of `applyCancel`. */
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

/** Drops cancels whose record was not seen. */
export function dropOldCancels(context: Context): void {
  const { jobs, now } = context;
  for (const [id, cancel] of jobs.cancels) {
    if (now > cancel.since + cancelRetention) jobs.cancels.delete(id);
  }
}
