/**
 * Running gangs: renewal of their leases, the states of their members, and how
 * they are stopped.
 *
 * @module
 */

import {
  assertInvariant,
  GANG_LEASE,
  GANG_RENEWAL_INTERVAL,
  Invariant,
  Reason,
  SECOND,
} from "@dragonflyledge/model";
import type {
  MemberReport,
  Milliseconds,
  ReclaimNotice,
  RunState,
} from "@dragonflyledge/model";
import { passProbe, recordFailure } from "../members/work_health.ts";
import { holdsCapacity, LEASE_LAPSE_TIME } from "./capacity.ts";
import { audit, requestLoad, send, setJobTimer } from "./context.ts";
import type { Context } from "./context.ts";
import {
  chooseEnding,
  endRun,
  hasFinished,
  isWhole,
  loseOwnership,
} from "./endings.ts";
import { workKind } from "./estimates.ts";
import type { Ending, Gang, Job, Part } from "./state.ts";
import { abandon } from "./start.ts";
import { persist } from "./writes.ts";

/**
 * A quarantined worker is readmitted if the gang that it got as a probe has run
 * for this long.
 */
const PROBE_RUN_TIME: Milliseconds = 5 * SECOND;

/**
 * Renews the lease of a running gang, or stops the gang if an agent did not
 * answer for the length of a lease. Without an answer the lease of that part
 * may have lapsed.
 */
export function renewLease(context: Context, job: Job): void {
  const { gang } = job;
  if (gang?.phase !== "running") return;
  const { now } = context;
  if (gang.queryDeadline !== undefined) {
    // After a takeover, not all members were found in time.
    return stopGang(
      context,
      job,
      chooseEnding(job, Reason.OwnershipLost, false),
    );
  }
  for (const part of gang.parts.values()) {
    if (isPartFinished(part)) continue;
    if (now < part.confirmedAt + GANG_LEASE) continue;
    const reason = `${part.worker} did not answer`;
    return stopGang(context, job, chooseEnding(job, reason, false));
  }
  assertWhole(job, gang);
  gang.leaseSentAt = now;
  for (const part of gang.parts.values()) {
    if (isPartFinished(part)) continue;
    const { run } = gang;
    send(context, part.worker, { kind: "renew", run, lease: GANG_LEASE });
  }
  setJobTimer(context, job, now + GANG_RENEWAL_INTERVAL);
}

function assertWhole(job: Job, gang: Gang): void {
  let members = 0;
  for (const part of gang.parts.values()) members += part.members.length;
  assertInvariant({
    invariant: Invariant.GangWhole,
    holds: members === job.record.spec.members,
    step: "renew",
    peer: job.record.id,
    detail: `${members} of ${job.record.spec.members} members are known`,
  });
}

function isPartFinished(part: Part): boolean {
  return part.members.every(({ member }) =>
    part.states.get(member) === "finished"
  );
}

/**
 * Handles an agent's message with the states of all members that it has of a
 * run.
 */
export function handleRunState(
  context: Context,
  job: Job,
  part: Part,
  message: RunState,
): void {
  const { gang } = job;
  if (gang === undefined) return;
  if (message.run.epoch > gang.run.epoch) {
    loseOwnership(context, job, undefined);
    requestLoad(context);
    return;
  }
  if (message.run.epoch < gang.run.epoch) return;
  if (!gang.committed) {
    // The agent dropped the reservation, because the owner of the home needs
    // the accelerators or because the agent leaves.
    const dropped = part.answer !== "none" && message.members.length === 0;
    if (dropped) {
      abandon(context, job, `${part.worker} dropped its reservation`);
    }
    return;
  }
  part.confirmedAt = context.now;
  updateStates(part, message.members);
  if (gang.phase === "stopping") {
    const live = message.members.some((member) => holdsCapacity(member.state));
    if (!live) part.confirmedStopped = true;
    return endIfStopped(context, job, gang);
  }
  checkProbe(context, gang, part);
  if (gang.queryDeadline !== undefined) {
    part.members = message.members.map(({ member, accelerators }) => ({
      member,
      accelerators,
    }));
    if (!isWhole(job, gang)) return;
    gang.queryDeadline = undefined;
    gang.unseen = false;
    renewLease(context, job);
  }
  checkMembers(context, job, gang, part, message.members);
}

/**
 * Handles the members in a periodic report of an agent. The report may have
 * been sent before the run began, so a member that it lacks means nothing.
 */
export function handleReport(
  context: Context,
  job: Job,
  part: Part,
  members: MemberReport[],
): void {
  const { gang } = job;
  if (gang?.phase !== "running" || gang.queryDeadline !== undefined) return;
  const own = members.filter(({ run }) =>
    run.job === gang.run.job && run.epoch >= gang.lowestEpoch &&
    run.epoch <= gang.run.epoch
  );
  if (own.length === 0) return;
  updateStates(part, own);
  checkMembers(context, job, gang, part, undefined);
}

function updateStates(part: Part, members: MemberReport[]): void {
  for (const { member, state } of members) {
    // A finished member never runs again, even if the agent has forgotten it.
    if (part.states.get(member) === "finished") continue;
    part.states.set(member, state);
  }
}

/**
 * Stops the gang if a member of the part has failed, was stopped or is missing,
 * and ends the run if all members have finished. `all` holds all members that
 * the agent has, or is undefined if some may be left out.
 */
function checkMembers(
  context: Context,
  job: Job,
  gang: Gang,
  part: Part,
  all: MemberReport[] | undefined,
): void {
  let reason = "";
  for (const { member } of part.members) {
    const state = part.states.get(member);
    if (state === "failed") return stopFailedGang(context, job, part, member);
    const missing = all !== undefined && state !== "finished" &&
      !all.some((report) => report.member === member);
    // A worker may take some time to start a member, but no longer than a
    // lease, because the other members run already.
    const idle = state === "reserved" &&
      context.now > gang.startedAt + GANG_LEASE;
    if (missing) reason = `member ${member} disappeared from ${part.worker}`;
    else if (idle) reason = `member ${member} did not start on ${part.worker}`;
    else if (state !== undefined && isStopping(state)) {
      reason = `member ${member} was stopped by ${part.worker}`;
    }
  }
  if (reason !== "") {
    return stopGang(context, job, chooseEnding(job, reason, false));
  }
  if (hasFinished(job, gang)) endRun(context, job);
}

function isStopping(state: MemberReport["state"]): boolean {
  return state === "checkpointing" || state === "stopping" ||
    state === "stopped";
}

function stopFailedGang(
  context: Context,
  job: Job,
  part: Part,
  member: number,
): void {
  const { worker } = part;
  // The failure of one member makes others fail, so only the first worker
  // counts in each run. A worker that is on the list gets the job again only
  // after a wait, and counts again, so the number of runs is bounded.
  const failedOn = [...job.record.failedOn, worker];
  job.record = { ...job.record, failedOn };
  const agent = context.state.agents.get(worker);
  if (agent !== undefined) {
    const { state, now, emit } = context;
    recordFailure(state, agent, workKind(job.record.spec), now, emit);
  }
  const reason = `member ${member} failed on ${worker}`;
  audit(context, job, { kind: "member-failed", worker, reason });
  stopGang(context, job, chooseEnding(job, reason, true));
}

/**
 * Stops all members of a gang. Once all have stopped, the job ends or is queued
 * again, as `ending` says. A start that is not committed is given up.
 */
export function stopGang(context: Context, job: Job, ending: Ending): void {
  const { gang } = job;
  if (gang === undefined) return;
  if (!gang.committed) return abandon(context, job, ending.reason);
  if (gang.phase === "stopping") return;
  gang.phase = "stopping";
  gang.ending = ending;
  audit(context, job, { kind: "gang-stopped", reason: ending.reason });
  if (job.cancelled) {
    // An entry that takes the job over must not start it again.
    job.record = { ...job.record, state: "stopping", reason: "cancelled" };
    persist(context, job);
  }
  for (const part of gang.parts.values()) {
    if (isPartFinished(part)) part.confirmedStopped = true;
  }
  sendStops(context, job);
  endIfStopped(context, job, gang);
}

/**
 * Sends stops to the agents, repeated by a timer until every member has stopped
 * or the lease has lapsed.
 */
export function sendStops(context: Context, job: Job): void {
  const { gang } = job;
  if (gang?.phase !== "stopping") return;
  const lapsesAt = gang.leaseSentAt + LEASE_LAPSE_TIME;
  if (context.now >= lapsesAt) return endRun(context, job);
  const checkpoint = gang.ending?.kind === "requeue" &&
    job.record.spec.revocable;
  for (const part of gang.parts.values()) {
    if (part.confirmedStopped) continue;
    send(context, part.worker, { kind: "stop", run: gang.run, checkpoint });
  }
  job.timerAt = Infinity;
  const again = context.now + GANG_RENEWAL_INTERVAL;
  setJobTimer(context, job, Math.min(lapsesAt, again));
}

function endIfStopped(context: Context, job: Job, gang: Gang): void {
  if (gang.unseen) return;
  for (const part of gang.parts.values()) if (!part.confirmedStopped) return;
  endRun(context, job);
}

/** Readmits a quarantined worker on which the gang has run for long enough. */
function checkProbe(context: Context, gang: Gang, part: Part): void {
  const { state, now } = context;
  const agent = state.agents.get(part.worker);
  if (agent === undefined || now < gang.startedAt + PROBE_RUN_TIME) return;
  const states = [...part.states.values()];
  if (states.some((each) => each === "running")) passProbe(state, agent, now);
}

/**
 * Handles the notice that a team takes back accelerators of a part. The whole
 * gang is stopped, because it can't run without some of its members.
 */
export function handleReclaimNotice(
  context: Context,
  job: Job,
  part: Part,
  message: ReclaimNotice,
): void {
  const { gang } = job;
  if (gang === undefined || message.run.epoch !== gang.run.epoch) return;
  if (gang.phase === "stopping") return;
  audit(context, job, {
    kind: "reclaim",
    worker: part.worker,
    reason: `reclaimed by ${message.by}`,
  });
  context.emit({
    kind: "count",
    metric: "jobs.preempted",
    value: 1,
    tags: { team: job.record.spec.team, by: message.by },
  });
  const reason = `reclaimed by ${message.by}`;
  stopGang(context, job, chooseEnding(job, reason, false));
}

/** Stops the gang after the agent of a part was lost or restarted. */
export function handlePartLost(context: Context, job: Job, part: Part): void {
  const reason = `worker-lost: ${part.worker}`;
  if (job.gang?.phase === "stopping" || isPartFinished(part)) return;
  stopGang(context, job, chooseEnding(job, reason, false));
}
