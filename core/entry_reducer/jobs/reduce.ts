/**
 * Handles the events that concern jobs.
 *
 * @module
 */

import { ENTRY_RENEWAL_INTERVAL } from "@dragonflyledge/model";
import type { EntryEvent, JobId, WorkerId } from "@dragonflyledge/model";
import type { Emit, EntryState } from "../state.ts";
import { cancelJob, cancelOwn, takeCancelWritten } from "./cancel.ts";
import { markFreed, refreshWorker, sweepRuns } from "./capacity.ts";
import { hasEnded, requestLoad } from "./context.ts";
import type { Context } from "./context.ts";
import { dispatch, dispatchUrgent } from "./dispatch.ts";
import { forget, lose } from "./endings.ts";
import { beginHandover, takeHandoverWritten } from "./handover.ts";
import { endImpossible } from "./impossible.ts";
import { dequeue, enqueue } from "./queue.ts";
import {
  losePart,
  renew,
  sendStops,
  takeReclaim,
  takeReport,
  takeRunState,
} from "./run.ts";
import { abandon, takeReservation, takeStartWritten } from "./start.ts";
import type { Job, Part } from "./state.ts";
import { resolveSubmission, submit, takeSubmissionWritten } from "./submit.ts";
import {
  considerTakeovers,
  keepLoading,
  takeClaimWritten,
  takeEntries,
  takeLoaded,
} from "./takeover.ts";
import { completeWrite, drainBacklog } from "./writes.ts";
import type { Completion } from "./writes.ts";

/** Ticks are much closer; a longer gap means that the process was paused. */
const pauseLimit = 2 * ENTRY_RENEWAL_INTERVAL;

type EventOf<K extends EntryEvent["kind"]> = Extract<EntryEvent, { kind: K }>;

/** Applies one event to the jobs of the entry. */
export function reduceJobs(
  state: EntryState,
  event: EntryEvent,
  emit: Emit,
): void {
  const { jobs } = state;
  const { now } = event;
  const context: Context = { state, jobs, now, emit };
  jobs.startedAt ??= now;
  const paused = now - jobs.now > pauseLimit && jobs.now > 0;
  jobs.now = now;
  if (paused) distrust(context);
  switch (event.kind) {
    case "tick":
      return tick(context);
    case "message":
      return takeMessage(context, event);
    case "agentConnected":
      return takeConnected(
        context,
        event.hello.inventory?.worker ?? event.hello.id,
      );
    case "agentLost":
      refreshWorker(context, event.worker);
      return loseParts(
        context,
        event.worker,
        (part) => part.incarnation === event.incarnation,
      );
    case "jobSubmitted":
      return submit(context, event);
    case "jobCancelled":
      return cancelJob(context, event.job);
    case "jobWritten":
      return takeWritten(context, event);
    case "jobsLoaded":
      return takeLoaded(context, event);
    case "leaseRenewed":
      if (jobs.leaseValidUntil <= now) distrust(context);
      jobs.leaseValidUntil = event.validUntil;
      return;
    case "entriesSeen":
      return takeEntries(context);
    case "stopRequested":
      return beginHandover(context);
  }
}

/** Other entries may have taken jobs over, so records are read first. */
function distrust(context: Context): void {
  const { jobs } = context;
  // An answer that was on its way before the pause says nothing.
  jobs.unverified = jobs.loading ? 2 : 1;
  for (const job of [...jobs.jobs.values()]) {
    if (job.gang?.committed === false) {
      abandon(context, job, "the entry was paused");
    }
  }
  requestLoad(context);
}

function tick(context: Context): void {
  const { jobs, state, now } = context;
  if (jobs.configuration !== state.configuration) takeConfiguration(context);
  for (;;) {
    const job = jobs.alarms.take(now);
    if (job === undefined) break;
    if (jobs.jobs.get(job.record.id) === job) ring(context, job);
  }
  if (now >= jobs.nextRound) sweepRuns(context);
  if (now >= jobs.nextTakeover) considerTakeovers(context);
  keepLoading(context);
  drainBacklog(context);
  endImpossible(context);
  dispatch(context);
}

function ring(context: Context, job: Job): void {
  const { jobs, now } = context;
  if (job.wakeAt > now) return;
  job.wakeAt = Infinity;
  const { gang } = job;
  if (job.phase === "submitting") return resolveSubmission(context, job);
  if (gang === undefined) jobs.stale = true;
  else if (gang.phase === "running") renew(context, job);
  else if (gang.phase === "stopping") sendStops(context, job);
  else if (now >= gang.deadline) {
    abandon(context, job, "the reservation timed out");
  } else {
    job.wakeAt = gang.deadline;
    jobs.alarms.set(gang.deadline, job);
  }
}

/** Classes may have become urgent, and quotas may have changed. */
function takeConfiguration(context: Context): void {
  const { jobs, state } = context;
  jobs.configuration = state.configuration;
  const urgent = new Map(
    state.configuration?.classes.map((one) => [one.name, one.urgent]),
  );
  for (const job of jobs.jobs.values()) {
    const next = urgent.get(job.record.spec.class) ?? job.urgent;
    if (next === job.urgent) continue;
    if (job.phase === "queued") dequeue(context, job);
    job.urgent = next;
    if (job.phase === "queued") enqueue(context, job, job.wait);
  }
  markFreed(context);
}

function takeMessage(context: Context, event: EventOf<"message">): void {
  const { message, worker } = event;
  switch (message.kind) {
    case "report":
      refreshWorker(context, worker);
      for (const [id, part] of partsOf(context, worker)) {
        const job = jobOf(context, id, part, event);
        if (job) takeReport(context, job, part, message.members);
      }
      return;
    case "reserved":
    case "reserving":
    case "reserveRefused":
    case "runState":
    case "reclaimNotice": {
      const { job: id } = message.run;
      const part = context.jobs.parts.get(worker)?.get(id);
      const job = part && jobOf(context, id, part, event);
      if (part === undefined || job === undefined) return;
      if (message.kind === "runState") {
        return takeRunState(context, job, part, message);
      }
      if (message.kind === "reclaimNotice") {
        return takeReclaim(context, job, part, message);
      }
      return takeReservation(context, job, part, message);
    }
  }
}

function partsOf(context: Context, worker: WorkerId): [JobId, Part][] {
  return [...context.jobs.parts.get(worker) ?? []];
}

/** A restarted agent may only prove that members have stopped. */
function jobOf(
  context: Context,
  id: JobId,
  part: Part,
  event: EventOf<"message">,
): Job | undefined {
  const job = context.jobs.jobs.get(id);
  const stopping = job?.gang?.phase === "stopping";
  return stopping || part.incarnation === event.incarnation ? job : undefined;
}

/** A restarted agent has lost the reservations, and lists what still runs. */
function takeConnected(context: Context, worker: WorkerId): void {
  const agent = context.state.agents.get(worker);
  refreshWorker(context, worker);
  loseParts(context, worker, (part) => part.incarnation !== agent?.incarnation);
}

function loseParts(
  context: Context,
  worker: WorkerId,
  isLost: (part: Part) => boolean,
): void {
  for (const [id, part] of partsOf(context, worker)) {
    const job = context.jobs.jobs.get(id);
    if (job !== undefined && isLost(part)) losePart(context, job, part);
  }
}

function takeWritten(context: Context, event: EventOf<"jobWritten">): void {
  takeCancelWritten(context, event);
  const completion = completeWrite(context, event);
  drainBacklog(context);
  if (completion === undefined) return;
  applyWritten(context, event, completion);
  // Any write may have carried the final state, also one that began a start.
  if (completion.result === "stored") forgetEnded(context, completion.job);
}

function applyWritten(
  context: Context,
  event: EventOf<"jobWritten">,
  completion: Completion,
): void {
  const { job, then, result, current } = completion;
  const winner = current && { record: current, revision: event.revision };
  if (then === "accept") {
    takeSubmissionWritten(context, job, result, winner);
    return dispatchUrgent(context, job);
  }
  if (then === "claim") {
    takeClaimWritten(context, job, result, winner);
    return dispatchUrgent(context, job);
  }
  if (result === "lost") return lose(context, job, winner);
  if (then === "start") {
    takeStartWritten(context, job, result === "stored");
  } else if (result === "stored" && then === "handover") {
    takeHandoverWritten(context, job);
  }
  if (job.cancelled) cancelOwn(context, job);
}

/** An ended job is forgotten once its final state is stored. */
function forgetEnded(context: Context, job: Job): void {
  if (context.jobs.jobs.get(job.record.id) !== job) return;
  const written = job.write === undefined && !job.dirty;
  if (hasEnded(job.record.state) && written) forget(context, job);
}
