/**
 * Reducer of the events that concern jobs.
 *
 * @module
 */

import { ENTRY_RENEWAL_INTERVAL } from "@dragonflyledge/model";
import type { EntryEvent, JobId, WorkerId } from "@dragonflyledge/model";
import type { Emit, EntryState } from "../state.ts";
import { cancelJob, cancelOwn, handleCancelWritten } from "./cancel.ts";
import { markFreed, refreshWorker, sweepSeenRuns } from "./capacity.ts";
import { hasEnded, requestLoad } from "./context.ts";
import type { Context } from "./context.ts";
import { placeUrgentJob, placeWaitingJobs } from "./dispatch.ts";
import { forgetJob, loseOwnership } from "./endings.ts";
import { beginHandover, handleHandoverWritten } from "./handover.ts";
import { endImpossible } from "./impossible.ts";
import { dequeue, enqueue } from "./queue.ts";
import {
  handlePartLost,
  handleReclaimNotice,
  handleReport,
  handleRunState,
  renewLease,
  sendStops,
} from "./run.ts";
import {
  abandon,
  handleReservationAnswer,
  handleStartWritten,
} from "./start.ts";
import type { Job, Part } from "./state.ts";
import {
  handleSubmissionWritten,
  rewriteSubmission,
  submitJob,
} from "./submit.ts";
import {
  claimOwnerlessJobs,
  handleClaimWritten,
  handleEntries,
  handleLoaded,
  loadPeriodically,
} from "./takeover.ts";
import { completeWrite, startDelayedWrites } from "./writes.ts";
import type { Completion } from "./writes.ts";

/**
 * A longer gap between events means that the process was paused, since ticks
 * are much more frequent.
 */
const pauseLimit = 2 * ENTRY_RENEWAL_INTERVAL;

type EventOf<K extends EntryEvent["kind"]> = Extract<EntryEvent, { kind: K }>;

/** Applies one event to the jobs of the entry, and emits the effects. */
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
  if (paused) suspendStarts(context);
  switch (event.kind) {
    case "tick":
      return tick(context);
    case "message":
      return handleMessage(context, event);
    case "agentConnected":
      return handleAgentConnected(
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
      return submitJob(context, event);
    case "jobCancelled":
      return cancelJob(context, event.job);
    case "jobWritten":
      return handleWritten(context, event);
    case "jobsLoaded":
      return handleLoaded(context, event);
    case "leaseRenewed":
      if (jobs.leaseValidUntil <= now) suspendStarts(context);
      jobs.leaseValidUntil = event.validUntil;
      return;
    case "entriesSeen":
      return handleEntries(context);
    case "stopRequested":
      return beginHandover(context);
  }
}

/**
 * Suspends all starts until the records are loaded, since other entries may
 * have taken over jobs of this one. Starts that are not committed are given up.
 */
function suspendStarts(context: Context): void {
  const { jobs } = context;
  // The answer of a load that is in flight may be older than the pause, so it
  // does not count.
  jobs.loadsRequired = jobs.loading ? 2 : 1;
  for (const job of [...jobs.jobs.values()]) {
    if (job.gang?.committed === false) {
      abandon(context, job, "the entry was paused");
    }
  }
  requestLoad(context);
}

function tick(context: Context): void {
  const { jobs, state, now } = context;
  if (jobs.configuration !== state.configuration) applyConfiguration(context);
  for (;;) {
    const job = jobs.timers.takeDue(now);
    if (job === undefined) break;
    if (jobs.jobs.get(job.record.id) === job) handleTimer(context, job);
  }
  if (now >= jobs.nextRound) sweepSeenRuns(context);
  if (now >= jobs.nextTakeover) claimOwnerlessJobs(context);
  loadPeriodically(context);
  startDelayedWrites(context);
  endImpossible(context);
  placeWaitingJobs(context);
}

/** Does what is due for a job, unless its timer was set to a later time. */
function handleTimer(context: Context, job: Job): void {
  const { jobs, now } = context;
  if (job.timerAt > now) return;
  job.timerAt = Infinity;
  const { gang } = job;
  if (job.phase === "submitting") return rewriteSubmission(context, job);
  if (gang === undefined) jobs.roundDue = true;
  else if (gang.phase === "running") renewLease(context, job);
  else if (gang.phase === "stopping") sendStops(context, job);
  else if (now >= gang.deadline) {
    abandon(context, job, "the reservation timed out");
  } else {
    job.timerAt = gang.deadline;
    jobs.timers.set(gang.deadline, job);
  }
}

/**
 * Applies a changed configuration: queues jobs again whose class became urgent
 * or no longer is, and tries all jobs again, since quotas may have changed.
 */
function applyConfiguration(context: Context): void {
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

function handleMessage(context: Context, event: EventOf<"message">): void {
  const { message, worker } = event;
  switch (message.kind) {
    case "report":
      refreshWorker(context, worker);
      for (const [id, part] of partsOf(context, worker)) {
        const job = jobForMessage(context, id, part, event);
        if (job) handleReport(context, job, part, message.members);
      }
      return;
    case "reserved":
    case "reserving":
    case "reserveRefused":
    case "runState":
    case "reclaimNotice": {
      const { job: id } = message.run;
      const part = context.jobs.parts.get(worker)?.get(id);
      const job = part && jobForMessage(context, id, part, event);
      if (part === undefined || job === undefined) return;
      if (message.kind === "runState") {
        return handleRunState(context, job, part, message);
      }
      if (message.kind === "reclaimNotice") {
        return handleReclaimNotice(context, job, part, message);
      }
      return handleReservationAnswer(context, job, part, message);
    }
  }
}

function partsOf(context: Context, worker: WorkerId): [JobId, Part][] {
  return [...context.jobs.parts.get(worker) ?? []];
}

/**
 * Returns the job that a message about a part concerns. A message of another
 * incarnation of the agent counts only while the gang stops, when it can show
 * that members are gone.
 */
function jobForMessage(
  context: Context,
  id: JobId,
  part: Part,
  event: EventOf<"message">,
): Job | undefined {
  const job = context.jobs.jobs.get(id);
  const stopping = job?.gang?.phase === "stopping";
  return stopping || part.incarnation === event.incarnation ? job : undefined;
}

/**
 * Handles the connection of an agent. If the agent was restarted, its
 * reservations are lost, and the gangs with parts on it are stopped.
 */
function handleAgentConnected(context: Context, worker: WorkerId): void {
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
    if (job !== undefined && isLost(part)) handlePartLost(context, job, part);
  }
}

function handleWritten(context: Context, event: EventOf<"jobWritten">): void {
  handleCancelWritten(context, event);
  const completion = completeWrite(context, event);
  startDelayedWrites(context);
  if (completion === undefined) return;
  applyWritten(context, event, completion);
  // Any write may have stored the final state, even the write of a start.
  if (completion.result === "stored") forgetEnded(context, completion.job);
}

function applyWritten(
  context: Context,
  event: EventOf<"jobWritten">,
  completion: Completion,
): void {
  const { job, followUp, result, current } = completion;
  const winner = current && { record: current, revision: event.revision };
  if (followUp === "accept") {
    handleSubmissionWritten(context, job, result, winner);
    return placeUrgentJob(context, job);
  }
  if (followUp === "claim") {
    handleClaimWritten(context, job, result, winner);
    return placeUrgentJob(context, job);
  }
  if (result === "lost") return loseOwnership(context, job, winner);
  if (followUp === "start") {
    handleStartWritten(context, job, result === "stored");
  } else if (result === "stored" && followUp === "handover") {
    handleHandoverWritten(context, job);
  }
  if (job.cancelled) cancelOwn(context, job);
}

/** Forgets an ended job once its final state is stored. */
function forgetEnded(context: Context, job: Job): void {
  if (context.jobs.jobs.get(job.record.id) !== job) return;
  const written = job.write === undefined && !job.dirty;
  if (hasEnded(job.record.state) && written) forgetJob(context, job);
}
