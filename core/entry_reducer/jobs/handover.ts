/**
 * Graceful shutdown: jobs are given up for other entries to adopt.
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

/** The store counts as unavailable if it is silent for longer. */
const storeTimeout: Milliseconds = 2000;

/** Gives up all jobs. Running gangs continue under their lease. */
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
  // An abandoned start is handed over from the queue.
  if (!gang.committed) return abandon(context, job, "the entry shuts down");
  if (gang.phase === "running") {
    renewLease(context, job);
  } else {
    const reason = job.cancelled ? "cancelled" : gang.ending?.reason ?? "";
    job.record = { ...job.record, state: "stopping", reason };
  }
  handOverJob(context, job);
}

/** The record without an owner was stored. */
export function handleHandoverWritten(context: Context, job: Job): void {
  if (job.write === undefined && !job.dirty) forgetJob(context, job);
}

/**
 * Whether nothing of the jobs keeps the entry from its exit: all records are
 * written, or the store is known to be unavailable.
 */
export function jobsSettled(state: EntryState): boolean {
  const { jobs } = state;
  if (jobs.jobs.size === 0) return true;
  let silentSince = jobs.storeDownSince ?? Infinity;
  for (const job of jobs.jobs.values()) {
    silentSince = Math.min(silentSince, job.write?.sentAt ?? Infinity);
  }
  // The store may have recovered since its last answer, so it is tried again.
  const since = Math.max(silentSince, jobs.stoppingSince ?? jobs.now);
  return jobs.now > since + storeTimeout;
}
