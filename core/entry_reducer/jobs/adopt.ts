/**
 * Adoption of the run that a job had when it was taken over.
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

/** How long agents are asked for members that have finished. */
const queryTime: Milliseconds = 1000;

/**
 * Continues the run of a job that was taken over if all its members are known;
 * stops what is left of it otherwise. A job that had no run is queued.
 */
export function adoptRun(context: Context, job: Job): void {
  const { now } = context;
  const parts = findParts(context, job);
  // The former owner handed the job over while it was queued, without a run.
  const clean = job.previous?.state === "queued" && job.previous.owner === "";
  const noRun = parts.size === 0 && clean;
  const former = listFormerAgents(context, job, parts);
  if (noRun && former.length === 0 && !job.record.started && !job.cancelled) {
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
    // Members may run on a worker that is not connected to this entry yet, so
    // only the lapse of their leases shows that none is left.
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
  if (noRun) gang.unseen = false;
  if (!job.cancelled && former.length > 0) {
    return queryFormerAgents(context, job, gang, former);
  }
  stopGang(context, job, ending);
}

/**
 * Lists connected agents that had members of the run and have none now. Those
 * members may have finished.
 */
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

/**
 * Asks the agents of the run for members that have finished, by a renewal:
 * agents remember members that have ended, and their answer includes them.
 */
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

/** Finds the members of the job that connected agents have reported. */
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

/** Returns the members of the job that have neither stopped nor failed. */
function presentMembers(members: MemberReport[], job: Job): MemberReport[] {
  return members.filter(({ run, state }) =>
    run.job === job.record.id && state !== "stopped" && state !== "failed"
  );
}

/** Returns the lowest epoch of members of the job, see `Gang`. */
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
