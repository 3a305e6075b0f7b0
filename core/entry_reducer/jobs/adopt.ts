/**
 * Adoption of the run of a job that was taken over.
 *
 * @module
 */

import { GANG_LEASE, Reason } from "@dragonflyledge/model";
import type {
  MemberReport,
  Milliseconds,
  WorkerId,
} from "@dragonflyledge/model";
import type { AgentView } from "../state.ts";
import { send, wake } from "./context.ts";
import type { Context } from "./context.ts";
import { endingOf, holdParts, isWhole } from "./endings.ts";
import { enqueue } from "./queue.ts";
import { renew, stopGang } from "./run.ts";
import type { Gang, Job, Part } from "./state.ts";

const askingTime: Milliseconds = 1000;

/** Continues a run that is whole; stops what is left of any other. */
export function adopt(context: Context, job: Job): void {
  const { now } = context;
  const parts = findParts(context, job);
  const clean = job.former?.state === "queued" && job.former.owner === "";
  const none = parts.size === 0 && clean;
  const former = listFormer(context, job, parts);
  if (none && former.length === 0 && !job.record.started && !job.cancelled) {
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
    askingUntil: undefined,
    // Members may run on a worker that has no session with this entry yet,
    // so that only the lapse of their leases proves that none is left.
    unseen: true,
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
  if (!job.cancelled && former.length > 0) {
    return askFormer(context, job, gang, former);
  }
  stopGang(context, job, ending);
}

/** Workers without members now that had some: those may have finished. */
function listFormer(
  context: Context,
  job: Job,
  parts: Map<WorkerId, Part>,
): AgentView[] {
  const workers = context.jobs.runs.get(job.record.id)?.former ?? [];
  return [...workers].flatMap((worker) => {
    const agent = context.state.agents.get(worker);
    return agent?.connected && !parts.has(worker) ? [agent] : [];
  });
}

/** Agents remember members that have ended, and tell when asked to renew. */
function askFormer(
  context: Context,
  job: Job,
  gang: Gang,
  former: AgentView[],
): void {
  for (const agent of former) {
    gang.parts.set(agent.worker, createPart(context, agent, []));
  }
  holdParts(context, job, gang);
  gang.askingUntil = context.now + askingTime;
  const { run } = gang;
  for (const { worker } of gang.parts.values()) {
    send(context, worker, { kind: "renew", run, lease: GANG_LEASE });
  }
  job.wakeAt = Infinity;
  wake(context, job, gang.askingUntil);
}

function findParts(context: Context, job: Job): Map<WorkerId, Part> {
  const parts = new Map<WorkerId, Part>();
  const workers = context.jobs.runs.get(job.record.id)?.workers ?? [];
  for (const worker of [...workers].sort()) {
    const agent = context.state.agents.get(worker);
    if (agent === undefined || !agent.connected) continue;
    const members = membersOf(agent.members, job);
    if (members.length === 0) continue;
    parts.set(worker, createPart(context, agent, members));
  }
  return parts;
}

function createPart(
  { now }: Context,
  agent: AgentView,
  members: MemberReport[],
): Part {
  return {
    worker: agent.worker,
    incarnation: agent.incarnation,
    members: members.map(({ member, accelerators }) => ({
      member,
      accelerators,
    })),
    answer: "reserved",
    confirmedAt: Math.min(now, Math.max(agent.reportedAt, agent.connectedAt)),
    gone: false,
    states: new Map(members.map(({ member, state }) => [member, state])),
  };
}

function membersOf(members: MemberReport[], job: Job): MemberReport[] {
  return members.filter(({ run, state }) =>
    run.job === job.record.id && state !== "stopped" && state !== "failed"
  );
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
