/**
 * Takeover of jobs that have no live owner.
 *
 * @module
 */

import { TAKEOVER_MARGIN } from "@dragonflyledge/model";
import type {
  EntryEvent,
  JobId,
  JobRecord,
  Milliseconds,
} from "@dragonflyledge/model";
import { adoptRun } from "./adopt.ts";
import { applyCancel, cancelOwn, dropOldCancels } from "./cancel.ts";
import { audit, hasEnded, requestLoad } from "./context.ts";
import type { Context } from "./context.ts";
import { handOverJob, loseOwnership } from "./endings.ts";
import { rendezvous } from "./rendezvous.ts";
import type { Job } from "./state.ts";
import { createJob, handleSubmissionFound } from "./submit.ts";
import { isCancelRequest, isOwn, persist } from "./writes.ts";
import type { WriteOutcome } from "./writes.ts";

/** Mean interval at which all records are loaded. */
const loadInterval: Milliseconds = 5000;
/** No job is claimed while this many writes are in flight. */
const claimsInFlightLimit = 64;
/**
 * A job without an owner may be claimed by any entry if the responsible one has
 * not claimed it for this long.
 */
const UNOWNED_CLAIM_DELAY: Milliseconds = 10_000;
/**
 * A takeover continues at the next multiple of this number. That is above all
 * epochs that the former owner used without storing them, so no two runs have
 * the same epoch.
 */
const epochStep = 1000;

type Loaded = Extract<EntryEvent, { kind: "jobsLoaded" }>;

/** Requests all records at intervals. Called on each tick. */
export function loadPeriodically(context: Context): void {
  const { jobs, state, now } = context;
  if (now < jobs.nextLoad) return;
  jobs.nextLoad = now + loadInterval * (0.8 + 0.4 * state.random());
  if (!state.stopping || jobs.cancels.size > 0) requestLoad(context);
}

/** Handles a new list of live entries. */
export function handleEntries(context: Context): void {
  const { jobs, state } = context;
  const live = state.entries.map((entry) =>
    entryKey(entry.id, entry.incarnation)
  );
  const presence = live.sort().join("\n");
  if (presence === jobs.presence) return;
  jobs.presence = presence;
  for (const key of live) jobs.absentSince.delete(key);
  if (!state.stopping) requestLoad(context);
  claimOwnerlessJobs(context);
}

function entryKey(id: string, incarnation: number): string {
  return `${id}/${incarnation}`;
}

/** Handles a load of all records of the store. */
export function handleLoaded(context: Context, event: Loaded): void {
  const { jobs } = context;
  jobs.storeDownSince = undefined;
  jobs.loading = false;
  jobs.loadsRequired = Math.max(0, jobs.loadsRequired - 1);
  if (jobs.loadsRequired > 0) requestLoad(context);
  jobs.roundDue = true;
  dropOldCancels(context);
  const open: Context["jobs"]["foreign"] = new Map();
  for (const loaded of event.jobs) {
    const { record, revision } = loaded;
    applyCancel(context, record.id, record, revision);
    const job = jobs.jobs.get(record.id);
    if (job !== undefined) compare(context, job, record, revision);
    else if (!hasEnded(record.state)) {
      const known = jobs.foreign.get(record.id);
      const newer = known === undefined || revision >= known.revision;
      open.set(record.id, newer ? loaded : known);
    }
  }
  jobs.foreign = open;
  for (const id of jobs.unownedSince.keys()) {
    if (!open.has(id)) jobs.unownedSince.delete(id);
  }
  claimOwnerlessJobs(context);
}

/**
 * Compares a job of this entry with its loaded record, which may name another
 * owner or request a cancellation. Older revisions are ignored.
 */
function compare(
  context: Context,
  job: Job,
  record: JobRecord,
  revision: number,
): void {
  if (revision <= job.revision || job.write !== undefined) return;
  if (job.phase === "submitting") {
    return handleSubmissionFound(context, job, { record, revision });
  }
  if (!isOwn(context, record) && !isOwnHandover(job, record)) {
    return loseOwnership(context, job, { record, revision });
  }
  job.revision = revision;
  if (isCancelRequest(record)) cancelOwn(context, job);
}

/** Whether the record is that of a handover by this entry. */
function isOwnHandover(job: Job, record: JobRecord): boolean {
  return job.record.owner === "" && record.owner === "" &&
    record.epoch === job.record.epoch;
}

/**
 * Claims jobs without a live owner for which this entry is responsible by
 * rendezvous hashing, or which the responsible entry has not claimed.
 */
export function claimOwnerlessJobs(context: Context): void {
  const { jobs, state, now } = context;
  jobs.nextTakeover = Infinity;
  const self = state.entries.find((entry) => entry.id === state.id);
  // An entry that is not in the list of live entries itself, or whose lease has
  // lapsed, can't tell whether others are alive.
  if (self?.incarnation !== state.incarnation || state.stopping) return;
  if (state.leaseValidUntil <= now) {
    jobs.nextTakeover = now + TAKEOVER_MARGIN;
    return;
  }
  const nodes = state.entries.map((entry) => entry.id);
  for (const [id, { record, revision }] of jobs.foreign) {
    if (jobs.jobs.has(id)) continue;
    if (!isOwnerGone(context, record)) continue;
    const winner = rendezvous({ key: id, nodes }) === state.id ||
      isUnclaimedTooLong(context, id);
    if (!winner && !isOwn(context, record)) continue;
    if (jobs.writesInFlight >= claimsInFlightLimit) {
      jobs.nextTakeover = now;
      return;
    }
    claimJob(context, id, record, revision);
  }
}

/**
 * Whether the entry that is responsible for the job has had enough time to claim
 * it. It may be shutting down, and claims nothing then.
 */
function isUnclaimedTooLong({ jobs, now }: Context, id: JobId): boolean {
  const since = jobs.unownedSince.get(id) ?? now;
  jobs.unownedSince.set(id, since);
  return now >= since + UNOWNED_CLAIM_DELAY;
}

/** Whether the job has no owner, or its owner can no longer act on it. */
function isOwnerGone(context: Context, record: JobRecord): boolean {
  const { jobs, state, now } = context;
  // The record may name this entry although it does not know the job: the
  // answer to its submission or claim was lost.
  if (record.owner === "" || isOwn(context, record)) return true;
  const live = state.entries.find((entry) => entry.id === record.owner);
  if (live?.incarnation === record.ownerIncarnation) return false;
  const key = entryKey(record.owner, record.ownerIncarnation);
  const since = jobs.absentSince.get(key) ?? now;
  jobs.absentSince.set(key, since);
  // An entry disappears from the list when its lease has lapsed, and another
  // incarnation means that the former process has ended, so only the margin
  // is left to wait.
  const due = since + TAKEOVER_MARGIN;
  if (now >= due) return true;
  jobs.nextTakeover = Math.min(jobs.nextTakeover, due);
  return false;
}

/** Claims a job by writing its record with this entry as the owner. */
function claimJob(
  context: Context,
  id: JobId,
  record: JobRecord,
  revision: number,
): void {
  const { jobs, state } = context;
  const seen = Math.max(record.epoch, jobs.runs.get(id)?.epoch ?? 0);
  const claimed = {
    ...record,
    owner: state.id,
    ownerIncarnation: state.incarnation,
    epoch: (Math.floor(seen / epochStep) + 1) * epochStep,
  };
  const job = createJob(context, claimed, revision);
  job.phase = "claiming";
  job.previous = { owner: record.owner, state: record.state };
  jobs.jobs.set(id, job);
  persist(context, job, "claim");
}

/**
 * Handles the result of a claim. If it was not stored, the job is left to its
 * owner; `current` is the stored record, if it is known.
 */
export function handleClaimWritten(
  context: Context,
  job: Job,
  result: WriteOutcome,
  current: { record: JobRecord; revision: number } | undefined,
): void {
  const { jobs } = context;
  const { id } = job.record;
  if (result !== "stored") {
    jobs.jobs.delete(id);
    job.phase = "ended";
    if (current === undefined) return;
    if (hasEnded(current.record.state)) jobs.foreign.delete(id);
    else jobs.foreign.set(id, current);
    return;
  }
  jobs.foreign.delete(id);
  const reason = job.previous?.owner === ""
    ? "given up by its owner"
    : `owner ${job.previous?.owner} is gone`;
  audit(context, job, { kind: "takeover", reason });
  context.emit({ kind: "count", metric: "jobs.takeovers", value: 1, tags: {} });
  if (context.state.stopping) return handOverJob(context, job);
  adoptRun(context, job);
}
