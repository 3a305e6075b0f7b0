/**
 * Graceful shutdown: the entry gives up the ownership of its jobs, so that
 * other entries take them over.
 *
 * @module
 */

import type { Milliseconds } from "@dragonflyledge/model";
import type { EntryState } from "../state.ts";
import type { Context } from "./context.ts";
import { forgetJob, handOverJob } from "./endings.ts";
import { renewLease } from "./run.ts";
import { abandon } from "./start.ts";
import type { Job } from "./state.ts";

/** The store counts as unavailable after this time without an answer. */
const storeTimeout: Milliseconds = 2000;

/**
 * Begins to hand over all jobs. Starts that are not committed are given up;
 * running gangs continue under their lease.
 */
export function beginHandover(context: Context): void {
  const { jobs } = context;
  if (jobs.stoppingSince !== undefined) return;
  jobs.stoppingSince = context.now;
  jobs.hold = undefined;
  jobs.nextLoad = context.now;
  for (const job of [...jobs.jobs.values()]) {
    if (job.phase === "queued") handOverJob(context, job);
    if (job.phase === "active") handOverRun(context, job);
  }
}

function handOverRun(context: Context, job: Job): void {
  const { gang } = job;
  if (gang === undefined) return;
  // A start that is given up puts the job back into the queue, from which it
  // is handed over.
  if (!gang.committed) return abandon(context, job, "the entry shuts down");
  if (gang.phase === "running") {
    renewLease(context, job);
  } else {
    const reason = job.cancelled ? "cancelled" : gang.ending?.reason ?? "";
    job.record = { ...job.record, state: "stopping", reason };
  }
  handOverJob(context, job);
}

/** Forgets a job once its record without an owner is stored. */
export function handleHandoverWritten(context: Context, job: Job): void {
  if (job.write === undefined && !job.dirty) forgetJob(context, job);
}

/**
 * Whether the entry may exit as far as jobs are concerned: all records are
 * written, or the store is unavailable.
 */
export function jobsSettled(state: EntryState): boolean {
  const { jobs } = state;
  if (jobs.jobs.size === 0) return true;
  let silentSince = jobs.storeDownSince ?? Infinity;
  for (const job of jobs.jobs.values()) {
    silentSince = Math.min(silentSince, job.write?.sentAt ?? Infinity);
  }
  // The store may have recovered since it failed, so the time counts from the
  // shutdown at the earliest and the store is tried once more.
  const since = Math.max(silentSince, jobs.stoppingSince ?? jobs.now);
  return jobs.now > since + storeTimeout;
}
