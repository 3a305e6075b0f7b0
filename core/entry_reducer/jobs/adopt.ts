/**
 * Adoption of the run of a job that was taken over.
 *
 * @module
 */

import { Reason, WORKER_LOSS_DELAY } from "@dragonflyledge/model";
import type { MemberReport, WorkerId } from "@dragonflyledge/model";
import { LAPSE } from "./capacity.ts";
import type { Context } from "./context.ts";
import { endingOf, holdParts } from "./endings.ts";
import { enqueue } from "./queue.ts";
import { renew, stopGang } from "./run.ts";
import type { Gang, Job, Part } from "./state.ts";

/** Continues a run that is whole; stops what is left of any other. */
export function adopt(context: Context, job: Job): void {
  const { now } = context;
  const parts = findParts(context, job);
  const clean = job.former?.state === "queued" && job.former.owner === "";
  const none = parts.size === 0 && (clean || knowsAllWorkers(context));
  if (none && !job.record.started && !job.cancelled) {
    job.record = { ...job.record, state: "queued" };
    return enqueue(context, job, "was taken over");
  }
  const gang: Gang = {
    run: { job: job.record.id, epoch: job.record.epoch },
    lowestEpoch: lowestEpoch(context, job, parts),
    parts,
    phase: "running",
    deadline: now,
    committed: true,
    startedAt: now,
    leaseSentAt: now,
    ending: undefined,
    unseen: !knowsAllWorkers(context),
  };
  const reason = job.cancelled ? Reason.Cancelled : Reason.OwnershipLost;
  const ending = endingOf(job, reason, false);
  job.phase = "active";
  holdParts(context, job, gang);
  if (isWhole(job, gang)) {
    gang.unseen = false;
    if (!job.cancelled) return renew(context, job);
  }
  if (none) gang.unseen = false;
  stopGang(context, job, ending);
}

function findParts(context: Context, job: Job): Map<WorkerId, Part> {
  const parts = new Map<WorkerId, Part>();
  const workers = context.jobs.runs.get(job.record.id)?.workers ?? [];
  for (const worker of [...workers].sort()) {
    const agent = context.state.agents.get(worker);
    if (agent === undefined || !agent.connected) continue;
    const members = membersOf(agent.members, job);
    if (members.length === 0) continue;
    parts.set(worker, {
      worker,
      incarnation: agent.incarnation,
      members: members.map(({ member, accelerators }) => ({
        member,
        accelerators,
      })),
      answer: "reserved",
      confirmedAt: Math.max(agent.reportedAt, agent.connectedAt),
      gone: false,
      states: new Map(members.map(({ member, state }) => [member, state])),
    });
  }
  return parts;
}

function membersOf(members: MemberReport[], job: Job): MemberReport[] {
  return members.filter(({ run, state }) =>
    run.job === job.record.id && state !== "stopped" && state !== "failed"
  );
}

function isWhole(job: Job, gang: Gang): boolean {
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

function lowestEpoch(
  context: Context,
  job: Job,
  parts: Map<WorkerId, Part>,
): number {
  let lowest = job.record.epoch;
  for (const worker of parts.keys()) {
    const agent = context.state.agents.get(worker);
    for (const { run } of membersOf(agent?.members ?? [], job)) {
      lowest = Math.min(lowest, run.epoch);
    }
  }
  return lowest;
}

/** Whether no member can run on a worker that this entry doesn't see. */
function knowsAllWorkers({ state, jobs, now }: Context): boolean {
  if (now < (jobs.startedAt ?? now) + WORKER_LOSS_DELAY) return false;
  for (const agent of state.agents.values()) {
    const lapsed = !agent.connected && now >= agent.lostAt + LAPSE;
    if (!agent.connected && !lapsed) return false;
  }
  return true;
}
