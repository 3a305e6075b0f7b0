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
import { send, setJobTimer } from "./context.ts";
import type { Context } from "./context.ts";
import { chooseEnding, holdParts, isWhole } from "./endings.ts";
import { enqueue } from "./queue.ts";
import { renewLease, stopGang } from "./run.ts";
import type { Gang, Job, Part } from "./state.ts";

const queryTime: Milliseconds = 1000;

/** Continues a run that is whole; stops what is left of any other. */
export function adoptRun(context: Context, job: Job): void {
  const { now } = context;
  const parts = findParts(context, job);
  const clean = job.previous?.state === "queued" && job.previous.owner === "";
  const none = parts.size === 0 && clean;
  const former = listFormerAgents(context, job, parts);
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
    queryDeadline: undefined,
    // Members may run on a worker that has no session with this entry yet,
    // so that only the lapse of their leases proves that none is left.
    unseen: true,
  };
  const reason = job.cancelled ? Reason.Cancelled : Reason.OwnershipLost;
  const ending = chooseEnding(job, reason, false);
  job.phase = "active";
  holdParts(context, job, gang);
  if (isWhole(job, gang)) {
    gang.unseen = false;
    if (!job.cancelled) return renewLease(context, job);
  }
  if (none) gang.unseen = false;
  if (!job.cancelled && former.length > 0) {
    return queryFormerAgents(context, job, gang, former);
  }
  stopGang(context, job, ending);
}

/** Workers without members now that had some: those may have finished. */
function listFormerAgents(
  context: Context,
  job: Job,
  parts: Map<WorkerId, Part>,
): AgentView[] {
  const workers = context.jobs.runs.get(job.record.id)?.formerWorkers ?? [];
  return [...workers].flatMap((worker) => {
    const agent = context.state.agents.get(worker);
    return agent?.connected && !parts.has(worker) ? [agent] : [];
  });
}

/** Agents remember members that have ended, and tell when asked to renew. */
function queryFormerAgents(
  context: Context,
  job: Job,
  gang: Gang,
  former: AgentView[],
): void {
  for (const agent of former) {
    gang.parts.set(agent.worker, createPart(context, agent, []));
  }
  holdParts(context, job, gang);
  gang.queryDeadline = context.now + queryTime;
  const { run } = gang;
  for (const { worker } of gang.parts.values()) {
    send(context, worker, { kind: "renew", run, lease: GANG_LEASE });
  }
  job.timerAt = Infinity;
  setJobTimer(context, job, gang.queryDeadline);
}

function findParts(context: Context, job: Job): Map<WorkerId, Part> {
  const parts = new Map<WorkerId, Part>();
  const workers = context.jobs.runs.get(job.record.id)?.workers ?? [];
  for (const worker of [...workers].sort()) {
    const agent = context.state.agents.get(worker);
    if (agent === undefined || !agent.connected) continue;
    const members = presentMembers(agent.members, job);
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
    confirmedStopped: false,
    states: new Map(members.map(({ member, state }) => [member, state])),
  };
}

function presentMembers(members: MemberReport[], job: Job): MemberReport[] {
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
    for (const { run } of presentMembers(agent?.members ?? [], job)) {
      lowest = Math.min(lowest, run.epoch);
    }
  }
  return lowest;
}
