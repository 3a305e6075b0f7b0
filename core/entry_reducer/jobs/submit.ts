/**
 * Submission of jobs.
 *
 * @module
 */

import {
  assertInvariant,
  Invariant,
  MAX_GANG_MEMBERS,
  Reason,
  SECOND,
  SESSION_TIMEOUT,
} from "@dragonflyledge/model";
import type {
  EntryEvent,
  JobId,
  JobRecord,
  JobSpec,
  Milliseconds,
  SubmissionAnswer,
  WorkClass,
} from "@dragonflyledge/model";
import { placeGang } from "@dragonflyledge/placement";
import { homeIndex, isRevocable, listViews } from "./capacity.ts";
import { hasEnded, jittered, setJobTimer } from "./context.ts";
import type { Context } from "./context.ts";
import { endJob, handOverJob } from "./endings.ts";
import { enqueue } from "./queue.ts";
import { shapeKey } from "./shape_key.ts";
import type { Job } from "./state.ts";
import { isCancelRequest, isOwn, persist } from "./writes.ts";
import type { WriteOutcome } from "./writes.ts";

/**
 * A submission is written again for this long if the store does not answer. One
 * write times out after about 4 s, so the caller gets an answer within 8 s; the
 * command line waits for 10 s.
 */
const submissionTimeout: Milliseconds = 4 * SECOND;
/** Mean delay before the record of a submission is written again. */
const rewriteDelay: Milliseconds = 500;

/**
 * How long it is remembered whether gangs of a shape fit. A search takes 1 to
 * 3 ms, and the jobs of a burst are of few shapes.
 */
const fitCacheTime: Milliseconds = 1000;

/** A record as it is in the store. */
interface StoredRecord {
  record: JobRecord;
  revision: number;
}

type Submitted = Extract<EntryEvent, { kind: "jobSubmitted" }>;

/**
 * Handles the submission of a job: refuses it, or writes its record. The job is
 * accepted once the record is stored.
 */
export function submitJob(context: Context, event: Submitted): void {
  const { state, jobs } = context;
  if (jobs.jobs.has(event.job)) return;
  const refusal = checkAdmission(context, event.spec);
  if (refusal !== undefined) {
    return answerSubmission(context, event.job, {
      kind: "not-run",
      reason: refusal,
    });
  }
  const record: JobRecord = {
    id: event.job,
    spec: event.spec,
    submitted: event.submitted,
    state: "queued",
    epoch: 1,
    owner: state.id,
    ownerIncarnation: state.incarnation,
    failedOn: [],
    started: false,
  };
  const job = createJob(context, record, 0);
  job.fitKnown = !isStarting(context);
  jobs.jobs.set(event.job, job);
  persist(context, job, "accept");
}

/** Creates a job for a record, in the state before its first write. */
export function createJob(
  context: Context,
  record: JobRecord,
  revision: number,
): Job {
  const { spec } = record;
  return {
    record,
    revision,
    phase: "submitting",
    urgent: findClass(context, spec)?.urgent ?? false,
    need: spec.members * spec.perMember.accelerators,
    level: 0,
    queuedAt: context.now,
    notBefore: 0,
    refusedBy: undefined,
    attempts: 0,
    wait: "its record is being written",
    attainedService: 0,
    noHoldBefore: 0,
    gang: undefined,
    cancelled: isCancelRequest(record),
    previous: undefined,
    write: undefined,
    dirty: false,
    followUp: "none",
    timerAt: Infinity,
    submissionUncertain: false,
    fitKnown: true,
    lastFitCheckAt: 0,
    impossibleSince: undefined,
  };
}

/**
 * Handles the result of the write of a submission. `winner` is the record that
 * is in the store instead, if there is one.
 */
export function handleSubmissionWritten(
  context: Context,
  job: Job,
  result: WriteOutcome,
  winner: StoredRecord | undefined,
): void {
  if (result === "stored") return acceptJob(context, job);
  // Ids are unique, so the record was stored by an earlier write.
  if (result === "lost" && winner) {
    return handleSubmissionFound(context, job, winner);
  }
  if (result === "not-sent" && !job.submissionUncertain) {
    return refuseSubmission(context, job);
  }
  job.submissionUncertain = true;
  if (mayRewrite(context, job)) setJobTimer(context, job, rewriteTime(context));
  else endAsUnknown(context, job);
}

/**
 * Writes the record of a submission again after a lost answer. The write
 * succeeds only if no record exists, so its result tells whether an earlier one
 * was stored.
 */
export function rewriteSubmission(context: Context, job: Job): void {
  if (job.write !== undefined) return;
  if (mayRewrite(context, job)) persist(context, job, "accept");
  else endAsUnknown(context, job);
}

/** Handles a submission whose record was found in the store. */
export function handleSubmissionFound(
  context: Context,
  job: Job,
  { record, revision }: StoredRecord,
): void {
  const { jobs } = context;
  const { id } = job.record;
  job.revision = Math.max(job.revision, revision);
  if (isCancelRequest(record)) job.cancelled = true;
  if (isOwn(context, record) && !hasEnded(record.state)) {
    return acceptJob(context, job);
  }
  jobs.jobs.delete(id);
  job.phase = "ended";
  if (!hasEnded(record.state)) jobs.foreign.set(id, { record, revision });
  answerSubmission(context, id, { kind: "accepted" });
}

/** Accepts a job whose record is stored, and queues it. */
function acceptJob(context: Context, job: Job): void {
  const { id } = job.record;
  assertInvariant({
    invariant: Invariant.NoLostJob,
    holds: job.revision > 0,
    step: "accept job",
    peer: id,
    detail: "an accepted job has no stored record",
  });
  answerSubmission(context, id, { kind: "accepted" });
  if (job.cancelled) {
    return endJob(context, job, "cancelled", Reason.Cancelled);
  }
  enqueue(context, job, "waits for the next placement");
  if (context.state.stopping) handOverJob(context, job);
}

/**
 * Answers that the job was not run. No write of its record was sent, so no
 * entry can ever run it.
 */
function refuseSubmission(context: Context, job: Job): void {
  const { id } = job.record;
  context.jobs.jobs.delete(id);
  job.phase = "ended";
  const reason = Reason.StoreUnavailable;
  answerSubmission(context, id, { kind: "not-run", reason });
}

/**
 * Answers that the outcome is unknown, and forgets the job. If the record was
 * stored after all, a load finds it and the job is taken over.
 */
function endAsUnknown(context: Context, job: Job): void {
  const { id } = job.record;
  context.jobs.jobs.delete(id);
  job.phase = "ended";
  const reason = Reason.StoreUnavailable;
  answerSubmission(context, id, { kind: "unknown", reason });
}

function mayRewrite({ state, now }: Context, job: Job): boolean {
  return !state.stopping && now < job.queuedAt + submissionTimeout;
}

function rewriteTime(context: Context): Milliseconds {
  return jittered(context, rewriteDelay);
}

function answerSubmission(
  context: Context,
  job: JobId,
  result: SubmissionAnswer,
): void {
  context.emit({ kind: "answerSubmission", job, result });
}

function findClass(context: Context, spec: JobSpec): WorkClass | undefined {
  return context.state.configuration?.classes.find((one) =>
    one.name === spec.class
  );
}

/** Returns the reason for which a job is refused, or undefined if it is not. */
function checkAdmission(context: Context, spec: JobSpec): Reason | undefined {
  const { state } = context;
  if (state.stopping) return Reason.ShuttingDown;
  // No configuration means that the store has not been read yet.
  if (state.configuration === undefined) return Reason.StoreUnavailable;
  const team = state.configuration.teams.find((one) => one.name === spec.team);
  if (team === undefined) return Reason.UnknownTeam;
  const workClass = findClass(context, spec);
  if (workClass === undefined) return Reason.UnknownClass;
  if (!isWellFormed(spec)) return Reason.NeverFits;
  const need = spec.members * spec.perMember.accelerators;
  if (need > team.acceleratorQuota) return Reason.QuotaExceeded;
  return neverFits(context, spec, workClass.urgent)
    ? Reason.NeverFits
    : undefined;
}

function isWellFormed({ members, perMember }: JobSpec): boolean {
  const { accelerators, cores, memoryMiB } = perMember;
  return Number.isInteger(members) && members >= 1 &&
    members <= MAX_GANG_MEMBERS &&
    Number.isInteger(accelerators) && accelerators >= 0 &&
    cores >= 0 && memoryMiB >= 0;
}

/**
 * Whether the entry has just started, so that agents may not have connected
 * yet.
 */
function isStarting({ jobs, now }: Context): boolean {
  return now - (jobs.startedAt ?? now) < SESSION_TIMEOUT;
}

/**
 * Whether a gang can't run even on idle workers. Returns false while the entry
 * is starting, because it may not know all workers.
 */
function neverFits(context: Context, spec: JobSpec, urgent: boolean): boolean {
  const { jobs, now } = context;
  if (isStarting(context)) return false;
  if (now >= jobs.fitCache.until) {
    jobs.fitCache = { until: now + fitCacheTime, never: new Map() };
  }
  const key = shapeKey(spec, urgent);
  const known = jobs.fitCache.never.get(key);
  if (known !== undefined) return known;
  const place = placeGang({
    spec: { ...spec, revocable: isRevocable(spec) },
    run: { job: "", epoch: 0 },
    urgent,
    workers: listViews(context),
    homes: homeIndex(context),
  });
  const never = place.isErr() && place.error.kind === "never";
  jobs.fitCache.never.set(key, never);
  return never;
}
