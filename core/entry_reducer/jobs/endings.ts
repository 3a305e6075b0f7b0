/**
 * Ends of runs and of jobs.
 *
 * @module
 */

import {
  assertInvariant,
  Invariant,
  MAX_WORKER_FAILURES_PER_JOB,
  Reason,
} from "@dragonflyledge/model";
import type { JobId, JobState } from "@dragonflyledge/model";
import { allowNextProbe, recordSuccess } from "../members/work_health.ts";
import { refreshWorker } from "./capacity.ts";
import { audit, hasEnded, log, send } from "./context.ts";
import type { Context } from "./context.ts";
import { observeRunTime, workKind } from "./estimates.ts";
import { dequeue, enqueue } from "./queue.ts";
import type { Ending, Gang, Job } from "./state.ts";
import { isOwn, persist } from "./writes.ts";

/** Number of ended jobs that are kept to answer queries about their state. */
const endedLimit = 2000;

/** Makes the gang that of the job, and counts its parts as held capacity. */
export function holdParts(context: Context, job: Job, gang: Gang): void {
  job.gang = gang;
  for (const [worker, part] of gang.parts) {
    const parts = context.jobs.parts.get(worker) ?? new Map();
    parts.set(job.record.id, part);
    context.jobs.parts.set(worker, parts);
    refreshWorker(context, worker);
  }
}

/** Removes the gang from the job, and frees the capacity that it held. */
export function releaseParts(context: Context, job: Job): void {
  const { gang } = job;
  job.gang = undefined;
  for (const worker of gang?.parts.keys() ?? []) {
    const parts = context.jobs.parts.get(worker);
    parts?.delete(job.record.id);
    if (parts?.size === 0) context.jobs.parts.delete(worker);
    const agent = context.state.agents.get(worker);
    if (agent !== undefined) allowNextProbe(context.state, agent, context.now);
    refreshWorker(context, worker);
  }
}

/**
 * Ends a run of which nothing is left on any worker: the job ends or is queued
 * again.
 */
export function endRun(context: Context, job: Job): void {
  const { gang } = job;
  if (gang === undefined) return;
  const held = context.now - gang.startedAt;
  if (gang.committed) job.attainedService += held * job.need;
  const succeeded = hasFinished(job, gang);
  if (succeeded) recordSuccesses(context, job, gang);
  const ending = gang.ending ?? { kind: "requeue", reason: "" };
  releaseParts(context, job);
  if (succeeded) {
    observeRunTime(context, job.record.spec, held);
    endJob(context, job, "succeeded", "");
  } else if (job.cancelled) {
    endJob(context, job, "cancelled", Reason.Cancelled);
  } else if (ending.kind !== "requeue") {
    endJob(context, job, ending.kind, ending.reason);
  } else {
    requeueJob(context, job, ending.reason);
  }
}

function recordSuccesses(context: Context, job: Job, gang: Gang): void {
  const { state, now } = context;
  for (const worker of gang.parts.keys()) {
    const agent = state.agents.get(worker);
    const kind = workKind(job.record.spec);
    if (agent !== undefined) recordSuccess(state, agent, kind, now);
  }
}

/**
 * Whether every member of the job has finished. After a takeover, the gang may
 * have fewer members that are known than the job has.
 */
export function hasFinished(job: Job, gang: Gang): boolean {
  let finished = 0;
  for (const part of gang.parts.values()) {
    for (const { member } of part.members) {
      if (part.states.get(member) !== "finished") return false;
      finished++;
    }
  }
  return finished === job.record.spec.members;
}

/** Whether every member of the job is known, and runs or has finished. */
export function isWhole(job: Job, gang: Gang): boolean {
  const running = new Set<number>();
  let count = 0;
  for (const part of gang.parts.values()) {
    for (const [member, state] of part.states) {
      count++;
      if (state === "running" || state === "finished") running.add(member);
    }
  }
  return running.size === job.record.spec.members && count === running.size;
}

/**
 * Chooses what becomes of a job whose run is lost, or has failed if `failed` is
 * set. A non-idempotent job that was started never runs again.
 */
export function chooseEnding(
  job: Job,
  reason: string,
  failed: boolean,
): Ending {
  // The record of a non-idempotent job says that it was started before the
  // commit is sent, so `started` is set if it may have run.
  if (!job.record.spec.idempotent && job.record.started) {
    return { kind: failed ? "failed" : "unknown", reason };
  }
  const { failedOn } = job.record;
  if (failed && failedOn.length >= MAX_WORKER_FAILURES_PER_JOB) {
    return { kind: "failed", reason: Reason.TooManyFailures };
  }
  return { kind: "requeue", reason };
}

function requeueJob(context: Context, job: Job, reason: string): void {
  const { idempotent } = job.record.spec;
  assertInvariant({
    invariant: Invariant.AtMostOnce,
    holds: idempotent || !job.record.started,
    step: "requeue",
    peer: job.record.id,
    detail: "a non-idempotent job was started before",
  });
  job.record = { ...job.record, state: "queued", reason };
  enqueue(context, job, reason);
  if (context.state.stopping) handOverJob(context, job);
  else persist(context, job);
}

/** Gives up the ownership of a job by writing its record without an owner. */
export function handOverJob(context: Context, job: Job): void {
  job.record = { ...job.record, owner: "", ownerIncarnation: 0 };
  persist(context, job, "handover");
}

/** Ends a job in a final state. It is kept until that state is stored. */
export function endJob(
  context: Context,
  job: Job,
  state: JobState,
  reason: string,
): void {
  if (job.phase === "queued") dequeue(context, job);
  job.phase = "ended";
  job.record = { ...job.record, state, reason };
  context.jobs.roundDue = true;
  if (context.jobs.hold?.job === job.record.id) context.jobs.hold = undefined;
  audit(context, job, { kind: "job-ended", reason: reason || state });
  context.emit({
    kind: "count",
    metric: "jobs.outcomes",
    value: 1,
    tags: {
      kind: state,
      reason,
      team: job.record.spec.team,
      class: job.record.spec.class,
    },
  });
  persist(context, job);
}

/** Removes a job that has ended or that this entry no longer owns. */
export function forgetJob(context: Context, job: Job): void {
  const { jobs } = context;
  const { id } = job.record;
  const ended = hasEnded(job.record.state);
  assertInvariant({
    invariant: Invariant.NoLostJob,
    holds: job.revision > 0 && (ended || !isOwn(context, job.record)),
    step: "forget job",
    peer: id,
    detail: `state ${job.record.state} at revision ${job.revision}`,
  });
  if (job.phase === "queued") dequeue(context, job);
  releaseParts(context, job);
  if (job.write !== undefined) jobs.writesInFlight--;
  job.write = undefined;
  job.phase = "ended";
  jobs.delayedWrites.delete(job);
  jobs.jobs.delete(id);
  if (jobs.hold?.job === id) jobs.hold = undefined;
  if (ended) rememberEnded(context, id, job);
}

function rememberEnded({ jobs }: Context, id: JobId, job: Job): void {
  jobs.ended.set(id, job.record);
  for (const oldest of jobs.ended.keys()) {
    if (jobs.ended.size <= endedLimit) break;
    jobs.ended.delete(oldest);
  }
}

/**
 * Removes a job that another entry owns now. Its run is left alone; only a
 * reservation that was not committed is released. `owner` is the stored record,
 * if it is known.
 */
export function loseOwnership(
  context: Context,
  job: Job,
  owner: { record: Job["record"]; revision: number } | undefined,
): void {
  const { id } = job.record;
  log(context, "warn", "Ownership of a job was lost", {
    job: id,
    owner: owner?.record.owner ?? "",
  });
  audit(context, job, { kind: "ownership-lost", reason: "other owner" });
  if (job.gang?.committed === false) {
    const { run, parts } = job.gang;
    for (const { worker } of parts.values()) {
      send(context, worker, { kind: "release", run });
    }
  }
  const record = owner?.record ?? { ...job.record, owner: "" };
  job.record = record;
  job.revision = Math.max(1, owner?.revision ?? job.revision);
  forgetJob(context, job);
  if (owner !== undefined && !hasEnded(record.state)) {
    context.jobs.foreign.set(id, owner);
  }
}
