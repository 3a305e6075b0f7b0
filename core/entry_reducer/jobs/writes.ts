/**
 * Writes of job records, one at a time per job.
 *
 * @module
 */

import { assertInvariant, Invariant } from "@dragonflyledge/model";
import type { EntryEvent, JobRecord } from "@dragonflyledge/model";
import { hasEnded, jittered } from "./context.ts";
import type { Context } from "./context.ts";
import type { FollowUp, Job } from "./state.ts";

/**
 * Writes are delayed while this many are in flight, unless something waits for
 * them. The store accepts several hundred writes a second in total.
 */
const backgroundWriteLimit = 32;
/** Mean delay of further delayed writes after a failure, in milliseconds. */
const retryDelay = 1000;

type Written = Extract<EntryEvent, { kind: "jobWritten" }>;

/**
 * Result of a write.
 *
 * - `stored`: the record is in the store.
 * - `lost`: another entry owns the job, or the job has ended.
 * - `not-sent`: the write certainly has no effect.
 * - `unavailable`: the write may or may not have taken effect.
 */
export type WriteOutcome = "stored" | "lost" | "not-sent" | "unavailable";

/** A write that was answered or has failed. */
export interface Completion {
  job: Job;
  followUp: FollowUp;
  result: WriteOutcome;
  /** The record in the store, if the result is `lost`. */
  current?: JobRecord;
}

/**
 * Writes the record of a job, one write at a time. A write for which nothing
 * waits may be delayed, and changes made meanwhile are written together.
 */
export function persist(
  context: Context,
  job: Job,
  followUp: FollowUp = "none",
): void {
  if (followUp !== "none") job.followUp = followUp;
  job.dirty = true;
  if (job.write !== undefined) return;
  const waits = followUp === "none" || followUp === "handover";
  if (waits && !mayWrite(context)) context.jobs.delayedWrites.add(job);
  else startWrite(context, job);
}

function mayWrite({ jobs, now }: Context): boolean {
  return jobs.writesInFlight < backgroundWriteLimit &&
    now >= jobs.writesPausedUntil;
}

function startWrite(context: Context, job: Job): void {
  const { jobs, emit, now } = context;
  jobs.delayedWrites.delete(job);
  const record = { ...job.record, failedOn: [...job.record.failedOn] };
  const id = ++jobs.writes;
  job.write = { id, record, followUp: job.followUp, sentAt: now };
  job.followUp = "none";
  job.dirty = false;
  jobs.writesInFlight++;
  emit({ kind: "writeJob", write: id, record, revision: job.revision });
}

/** Starts delayed writes. Called on each tick and after each write. */
export function startDelayedWrites(context: Context): void {
  for (const job of context.jobs.delayedWrites) {
    if (!mayWrite(context)) return;
    startWrite(context, job);
  }
}

/**
 * Handles the answer to a write. Returns undefined if the write is unknown, or
 * if it is sent again with the revision that is in the store.
 */
export function completeWrite(
  context: Context,
  event: Written,
): Completion | undefined {
  const { jobs } = context;
  const job = jobs.jobs.get(event.job);
  const write = job?.write;
  if (job === undefined || write?.id !== event.write) return undefined;
  job.write = undefined;
  jobs.writesInFlight--;
  const { followUp } = write;
  const unreadable = event.result === "conflict" &&
    event.current === undefined;
  const unsent = event.result === "not-sent";
  if (event.result === "unavailable" || unsent || unreadable) {
    jobs.storeDownSince ??= write.sentAt;
    jobs.writesPausedUntil = jittered(context, retryDelay);
    // Submissions, claims and starts are not repeated here, but changes made
    // during their write must not wait until the record is written again.
    const again = followUp === "none" || followUp === "handover";
    if (again || job.dirty) persist(context, job, again ? followUp : "none");
    return { job, followUp, result: unsent ? "not-sent" : "unavailable" };
  }
  jobs.storeDownSince = undefined;
  if (event.result === "stored") return onStored(context, job, event, followUp);
  const { current } = event;
  if (current === undefined) return undefined;
  if (isSameRecord(current, write.record)) {
    // An earlier try of this write was stored and its answer was lost.
    return onStored(context, job, event, followUp);
  }
  // A final state is never overwritten.
  if (!isOwn(context, current) || hasEnded(current.state)) {
    return { job, followUp, result: "lost", current };
  }
  job.revision = Math.max(job.revision, event.revision);
  if (isCancelRequest(current)) job.cancelled = true;
  job.followUp = job.followUp === "none" ? followUp : job.followUp;
  job.dirty = true;
  startWrite(context, job);
  return undefined;
}

function onStored(
  context: Context,
  job: Job,
  event: Written,
  followUp: FollowUp,
): Completion {
  assertInvariant({
    invariant: Invariant.VersionForward,
    holds: event.revision >= job.revision,
    step: "write job",
    peer: event.job,
    detail: `revision ${event.revision} after ${job.revision}`,
  });
  job.revision = event.revision;
  if (job.dirty) persist(context, job, job.followUp);
  return { job, followUp, result: "stored" };
}

/** Whether the record names this process as its owner. */
export function isOwn({ state }: Context, record: JobRecord): boolean {
  return record.owner === state.id &&
    record.ownerIncarnation === state.incarnation;
}

/** Whether the record asks the owner of the job to cancel it. */
export function isCancelRequest(record: JobRecord): boolean {
  return record.state === "stopping" && record.reason === "cancelled";
}

/** Whether two records are equal in all fields that change. */
function isSameRecord(a: JobRecord, b: JobRecord): boolean {
  return a.id === b.id && a.state === b.state && a.epoch === b.epoch &&
    a.owner === b.owner && a.ownerIncarnation === b.ownerIncarnation &&
    a.started === b.started && a.reason === b.reason &&
    a.failedOn.length === b.failedOn.length;
}
