/**
 * Start of a gang: members are reserved on every worker, then the start is
 * committed to all of them.
 *
 * @module
 */

import {
  assertInvariant,
  GANG_LEASE,
  GANG_RENEWAL_INTERVAL,
  Invariant,
  RESERVATION_TIMEOUT,
} from "@dragonflyledge/model";
import type {
  Milliseconds,
  Reserved,
  ReserveRefused,
  Reserving,
} from "@dragonflyledge/model";
import type { PlacementPlan } from "@dragonflyledge/placement";
import { reindexAgent } from "../members/choose_agent.ts";
import { isRevocable } from "./capacity.ts";
import { jittered, log, requestLoad, send, setJobTimer } from "./context.ts";
import type { Context } from "./context.ts";
import { endJob, handOverJob, holdParts, releaseParts } from "./endings.ts";
import { dequeue, enqueue } from "./queue.ts";
import type { Gang, Job, Part } from "./state.ts";
import { persist } from "./writes.ts";

/**
 * A reservation lasts this much longer than the deadline of the start, so that
 * a commit sent just before the deadline still finds it.
 */
const reservationSlack: Milliseconds = 500;
/** Mean delay after the first failed start; it doubles with each further one. */
const firstRetryDelay: Milliseconds = 50;
const longestRetryDelay: Milliseconds = 2000;
/**
 * Epochs of runs that are never committed are not stored each time, only the
 * multiples of this number. A takeover continues at a multiple of a larger
 * number, above all epochs that were not stored.
 */
const epochStoreInterval = 500;

/** Creates the gang of a plan, and reserves on its first worker. */
export function startGang(
  context: Context,
  job: Job,
  plan: PlacementPlan,
): void {
  const { now } = context;
  dequeue(context, job);
  job.phase = "active";
  job.record = { ...job.record, epoch: plan.run.epoch };
  const parts = new Map<string, Part>();
  for (const { worker, members } of plan.workers) {
    const agent = context.state.agents.get(worker);
    // A quarantined worker gets no other work until this probe has ended.
    if (agent !== undefined && agent.quarantinedUntil > 0) {
      agent.probeAllowed = false;
      reindexAgent(context.state, agent, now);
    }
    parts.set(worker, {
      worker,
      incarnation: agent?.incarnation ?? 0,
      members,
      answer: "none",
      confirmedAt: now,
      confirmedStopped: false,
      states: new Map(),
    });
  }
  const deadline = now + RESERVATION_TIMEOUT;
  holdParts(context, job, {
    run: plan.run,
    lowestEpoch: plan.run.epoch,
    parts,
    phase: "reserving",
    deadline,
    committed: false,
    startedAt: now,
    leaseSentAt: now,
    ending: undefined,
    queryDeadline: undefined,
    unseen: false,
  });
  if (plan.run.epoch % epochStoreInterval === 0) persist(context, job);
  setJobTimer(context, job, deadline);
  reserveNext(context, job);
}

/**
 * Reserves on one worker at a time, in the order of worker ids, so that two
 * gangs that want the same workers can't block each other: one of them gets all
 * workers that they share.
 */
function reserveNext(context: Context, job: Job): void {
  const { gang, record: { spec } } = job;
  if (gang === undefined) return;
  for (const part of gang.parts.values()) {
    if (part.answer === "asked") return;
    if (part.answer !== "none") continue;
    part.answer = "asked";
    const sent = send(context, part.worker, {
      kind: "reserve",
      run: gang.run,
      team: spec.team,
      class: spec.class,
      urgent: job.urgent,
      revocable: isRevocable(spec),
      members: part.members,
      perMember: spec.perMember,
      command: spec.command,
      remaining: gang.deadline - context.now + reservationSlack,
    });
    if (!sent) abandon(context, job, `${part.worker} is not connected`);
    return;
  }
  const allReserved = [...gang.parts.values()].every((part) =>
    part.answer === "reserved"
  );
  if (allReserved) handleAllReserved(context, job);
}

/** Handles an agent's answer to a reservation. */
export function handleReservationAnswer(
  context: Context,
  job: Job,
  part: Part,
  message: Reserved | Reserving | ReserveRefused,
): void {
  const { gang } = job;
  if (gang?.phase !== "reserving" || message.run.epoch !== gang.run.epoch) {
    return;
  }
  if (message.kind === "reserveRefused") {
    job.refusedBy = part.worker;
    abandon(context, job, `${part.worker} refused: ${message.reason}`);
    // The worker knows a higher epoch, so another entry owns the job.
    if (message.reason === "stale-epoch") requestLoad(context);
    return;
  }
  if (part.answer === "reserved") return;
  part.answer = message.kind;
  reserveNext(context, job);
}

/**
 * Commits a start for which all workers are reserved. The start of a
 * non-idempotent job is stored first, so that no other entry repeats it.
 */
function handleAllReserved(context: Context, job: Job): void {
  const { gang } = job;
  if (gang === undefined) return;
  if (job.record.spec.idempotent) return commit(context, job);
  if (context.state.leaseValidUntil <= context.now) {
    return abandon(context, job, "the entry's lease in the store has lapsed");
  }
  gang.phase = "recording";
  job.record = { ...job.record, started: true, state: "running" };
  persist(context, job, "start");
}

/** Commits a start after its record was stored, or gives it up. */
export function handleStartWritten(
  context: Context,
  job: Job,
  stored: boolean,
): void {
  const { gang } = job;
  if (gang?.phase !== "recording") {
    // The start was given up in the meantime, so the job was not started.
    if (job.phase !== "ended") clearStarted(context, job);
    return;
  }
  if (!stored) return abandon(context, job, "the start could not be stored");
  const late = context.now >= gang.deadline;
  const lapsed = context.state.leaseValidUntil <= context.now;
  if (late || lapsed) {
    return abandon(context, job, "the start was stored too late");
  }
  commit(context, job);
}

/** Corrects the record of a non-idempotent job whose start was given up. */
function clearStarted(context: Context, job: Job): void {
  const { spec, started } = job.record;
  if (spec.idempotent || !started || job.gang?.committed) return;
  job.record = { ...job.record, started: false, state: "queued" };
  persist(context, job);
}

/** Sends the commit to all agents, with the first lease of the gang. */
function commit(context: Context, job: Job): void {
  const { gang } = job;
  if (gang === undefined) return;
  const { now } = context;
  assertMayCommit(context, job, gang);
  const { team, class: name } = job.record.spec;
  context.emit({
    kind: "count",
    metric: "jobs.queue_wait",
    value: now - job.queuedAt,
    tags: { team, class: name },
  });
  gang.phase = "running";
  gang.committed = true;
  gang.startedAt = now;
  gang.leaseSentAt = now;
  for (const part of gang.parts.values()) {
    part.confirmedAt = now;
    const { run } = gang;
    send(context, part.worker, { kind: "commit", run, lease: GANG_LEASE });
  }
  job.attempts = 0;
  job.refusedBy = undefined;
  if (context.jobs.hold?.job === job.record.id) context.jobs.hold = undefined;
  if (job.record.spec.idempotent) {
    job.record = { ...job.record, started: true, state: "running", reason: "" };
    persist(context, job);
  }
  job.timerAt = Infinity;
  setJobTimer(context, job, now + GANG_RENEWAL_INTERVAL);
}

function assertMayCommit(context: Context, job: Job, gang: Gang): void {
  const parts = [...gang.parts.values()];
  const members = parts.reduce((sum, part) => sum + part.members.length, 0);
  assertInvariant({
    invariant: Invariant.GangWhole,
    holds: members === job.record.spec.members &&
      parts.every((part) => part.answer === "reserved"),
    step: "commit",
    peer: job.record.id,
    detail: `${members} of ${job.record.spec.members} members are reserved`,
  });
  assertInvariant({
    invariant: Invariant.AtMostOnce,
    holds: job.record.spec.idempotent ||
      (!gang.committed && context.state.leaseValidUntil > context.now),
    step: "commit",
    peer: job.record.id,
    detail: "a non-idempotent job needs a valid lease and one commit",
  });
}

/**
 * Gives up a start that was not committed. The job is queued again after a
 * delay that grows with each failed start, or ends if it was cancelled.
 */
export function abandon(context: Context, job: Job, reason: string): void {
  const { gang } = job;
  if (gang === undefined || gang.committed) return;
  for (const part of gang.parts.values()) {
    if (part.answer === "none") continue;
    send(context, part.worker, { kind: "release", run: gang.run });
  }
  log(context, "debug", "The start of a job was given up", {
    job: job.record.id,
    reason,
  });
  releaseParts(context, job);
  // If the write of the start has not been sent yet, nothing follows it.
  if (job.followUp === "start") job.followUp = "none";
  clearStarted(context, job);
  if (job.cancelled) return endJob(context, job, "cancelled", "cancelled");
  job.attempts++;
  const delay = Math.min(
    longestRetryDelay,
    firstRetryDelay * 2 ** Math.min(10, job.attempts - 1),
  );
  job.notBefore = jittered(context, delay);
  const { queuedAt } = job;
  enqueue(context, job, reason);
  job.queuedAt = queuedAt;
  if (context.state.stopping) handOverJob(context, job);
}
