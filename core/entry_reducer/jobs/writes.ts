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

/** The store accepts several hundred writes a second in total. */
const backgroundWriteLimit = 32;
const retryDelay = 1000;

type Written = Extract<EntryEvent, { kind: "jobWritten" }>;

/**
 * What became of a write. `lost`: another entry owns the job now. `not-sent`
 * differs from `unavailable` in that the write certainly has no effect.
 */
export type WriteOutcome = "stored" | "lost" | "not-sent" | "unavailable";

/** A write that ended. */
export interface Completion {
  job: Job;
  followUp: FollowUp;
  result: WriteOutcome;
  /** The record that won, if the job is lost. */
  current?: JobRecord;
}

/**
 * Writes the record. Writes without anything that waits for them may be
 * delayed and merged.
 */
export function persist(
  context: Context,
  job: Job,
  then: FollowUp = "none",
): void {
  if (then !== "none") job.followUp = then;
  job.dirty = true;
  if (job.write !== undefined) return;
  const waits = then === "none" || then === "handover";
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

/** Starts delayed writes; called on each tick and after each write. */
export function startDelayedWrites(context: Context): void {
  for (const job of context.jobs.delayedWrites) {
    if (!mayWrite(context)) return;
    startWrite(context, job);
  }
}

/** Takes the result of a write, or returns nothing if the job goes on. */
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
  const { followUp: then } = write;
  const unreadable = event.result === "conflict" &&
    event.current === undefined;
  const unsent = event.result === "not-sent";
  if (event.result === "unavailable" || unsent || unreadable) {
    jobs.storeDownSince ??= write.sentAt;
    jobs.writesPausedUntil = jittered(context, retryDelay);
    // Changes that waited for this write must not wait for another one.
    const again = then === "none" || then === "handover";
    if (again || job.dirty) persist(context, job, again ? then : "none");
    return { job, followUp: then, result: unsent ? "not-sent" : "unavailable" };
  }
  jobs.storeDownSince = undefined;
  if (event.result === "stored") return onStored(context, job, event, then);
  const { current } = event;
  if (current === undefined) return undefined;
  if (isSameRecord(current, write.record)) {
    // The answer of an earlier try of this write was lost.
    return onStored(context, job, event, then);
  }
  // A final state is never overwritten.
  if (!isOwn(context, current) || hasEnded(current.state)) {
    return { job, followUp: then, result: "lost", current };
  }
  job.revision = Math.max(job.revision, event.revision);
  if (isCancelRequest(current)) job.cancelled = true;
  job.followUp = job.followUp === "none" ? then : job.followUp;
  job.dirty = true;
  startWrite(context, job);
  return undefined;
}

function onStored(
  context: Context,
  job: Job,
  event: Written,
  then: FollowUp,
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
  return { job, followUp: then, result: "stored" };
}

/** Whether the record names this process as its owner. */
export function isOwn({ state }: Context, record: JobRecord): boolean {
  return record.owner === state.id &&
    record.ownerIncarnation === state.incarnation;
}

/** Another entry asks the owner to cancel the job. */
export function isCancelRequest(record: JobRecord): boolean {
  return record.state === "stopping" && record.reason === "cancelled";
}

function isSameRecord(a: JobRecord, b: JobRecord): boolean {
  return a.id === b.id && a.state === b.state && a.epoch === b.epoch &&
    a.owner === b.owner && a.ownerIncarnation === b.ownerIncarnation &&
    a.started === b.started && a.reason === b.reason &&
    a.failedOn.length === b.failedOn.length;
}
