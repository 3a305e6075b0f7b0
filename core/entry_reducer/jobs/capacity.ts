/**
 * Index of what holds the capacity of each worker. An event recomputes only the
 * workers that it concerns.
 *
 * @module
 */

import {
  GANG_LEASE,
  RECLAIM_GRACE,
  SESSION_TIMEOUT,
} from "@dragonflyledge/model";
import type {
  JobId,
  JobSpec,
  MemberReport,
  Milliseconds,
  WorkerId,
} from "@dragonflyledge/model";
import { indexHomes } from "@dragonflyledge/placement";
import type {
  HeldMember,
  HomeIndex,
  WorkerView,
} from "@dragonflyledge/placement";
import { isEligible } from "../members/choose_agent.ts";
import type { AgentView } from "../state.ts";
import type { Context } from "./context.ts";
import type { Part, SeenRun } from "./state.ts";

/**
 * All members have stopped this long after the last renewal of their lease was
 * sent: the message may take up to the session timeout to arrive, and stopping
 * takes up to the grace period.
 */
export const LEASE_LAPSE_TIME: Milliseconds = GANG_LEASE + SESSION_TIMEOUT +
  RECLAIM_GRACE;

/**
 * How long a run is remembered after no worker reports it any more. A takeover
 * asks its former workers for members that have finished.
 */
const seenRunRetention: Milliseconds = 30_000;

/** Older measurements of usage are ignored, in milliseconds. */
const usageAgeLimit = 15_000;

/** Whether a member in this state holds capacity of its worker. */
export function holdsCapacity(state: MemberReport["state"]): boolean {
  return state !== "stopped" && state !== "finished" && state !== "failed";
}

/**
 * Whether a job may be stopped to make room, which is required of work on homes
 * of other teams. It must also be idempotent, because it runs again.
 */
export function isRevocable(spec: JobSpec): boolean {
  return spec.revocable && spec.idempotent;
}

/**
 * Recomputes the view of one worker from the report of its agent and the
 * reservations of this entry.
 */
export function refreshWorker(context: Context, worker: WorkerId): void {
  const { jobs, state, now } = context;
  const agent = state.agents.get(worker);
  const former = jobs.views.get(worker);
  if (former !== undefined) countView(context, former, -1);
  if (agent === undefined) {
    jobs.views.delete(worker);
    jobs.lost.delete(worker);
    return;
  }
  if (agent.connected) jobs.lost.delete(worker);
  else jobs.lost.add(worker);
  const lapsed = !agent.connected && now >= agent.lostAt + LEASE_LAPSE_TIME;
  if (lapsed) jobs.lost.delete(worker);
  const held = lapsed ? [] : listHeld(context, agent);
  const view: WorkerView = {
    inventory: agent.inventory,
    available: isEligible(agent, now),
    held,
    free: freeCapacity(agent, held),
  };
  jobs.views.set(worker, view);
  countView(context, view, 1);
  if (former === undefined || gainedCapacity(former, view)) markFreed(context);
}

/** Makes the next round of placement try gangs again that did not fit. */
export function markFreed(context: Context): void {
  context.jobs.capacityVersion++;
  context.jobs.roundDue = true;
}

/** Returns the views of all workers, with their availability updated. */
export function listViews(context: Context): Iterable<WorkerView> {
  const { jobs, state, now } = context;
  for (const [worker, agent] of state.agents) {
    const view = jobs.views.get(worker);
    if (view === undefined) {
      refreshWorker(context, worker);
      continue;
    }
    const available = isEligible(agent, now);
    if (available && !view.available) markFreed(context);
    view.available = available;
  }
  return jobs.views.values();
}

/** Returns the index of the current homes table. */
export function homeIndex(context: Context): HomeIndex {
  const { jobs, state } = context;
  if (jobs.homes.table !== state.homes) {
    jobs.homes = {
      table: state.homes,
      index: indexHomes({ homes: state.homes }),
    };
    markFreed(context);
  }
  return jobs.homes.index;
}

/** Returns the number of accelerators that the team holds on all workers. */
export function heldBy(context: Context, team: string): number {
  return context.jobs.held.get(team) ?? 0;
}

/** Returns the accelerator-milliseconds of work lost if the gang stops. */
export function lostWork(context: Context, job: JobId): number {
  const seen = context.jobs.runs.get(job);
  const spec = specOf(context, job);
  if (seen === undefined) return 0;
  const accelerators = spec === undefined
    ? seen.workers.size
    : spec.members * spec.perMember.accelerators;
  return (context.now - seen.since) * Math.max(1, accelerators);
}

/** Returns the specification of a job of any entry, if its record is known. */
export function specOf(context: Context, job: JobId): JobSpec | undefined {
  const { jobs } = context;
  return (jobs.jobs.get(job) ?? jobs.foreign.get(job))?.record.spec;
}

/**
 * Lists the members that hold capacity of the agent's worker: those that it has
 * reported, and those of own gangs that it has not reported yet.
 */
function listHeld(context: Context, agent: AgentView): HeldMember[] {
  const held: HeldMember[] = [];
  const reported = new Set<string>();
  for (const member of agent.members) {
    if (!holdsCapacity(member.state)) continue;
    reported.add(`${member.run.job}\n${member.member}`);
    held.push(fromReport(context, agent, member));
  }
  for (const [id, part] of context.jobs.parts.get(agent.worker) ?? []) {
    for (const member of part.members) {
      if (reported.has(`${id}\n${member.member}`)) continue;
      const pending = fromPart(context, id, part, member);
      if (pending !== undefined) held.push(pending);
    }
  }
  return held;
}

function fromReport(
  context: Context,
  agent: AgentView,
  report: MemberReport,
): HeldMember {
  const { run, member, team, urgent, revocable, accelerators } = report;
  const needs = specOf(context, run.job)?.perMember;
  const { capacity } = agent.inventory;
  // Until the record is loaded, cores and memory are estimated by the member's
  // share of the accelerators.
  const share = accelerators.length / Math.max(1, capacity.accelerators);
  return {
    run,
    member,
    team,
    class: report.class,
    urgent,
    revocable,
    accelerators,
    cores: needs?.cores ?? capacity.cores * share,
    memoryMiB: needs?.memoryMiB ?? capacity.memoryMiB * share,
  };
}

function fromPart(
  context: Context,
  id: JobId,
  part: Part,
  member: Part["members"][number],
): HeldMember | undefined {
  const job = context.jobs.jobs.get(id);
  if (job?.gang === undefined || part.confirmedStopped) return undefined;
  const state = part.states.get(member.member);
  if (state !== undefined && !holdsCapacity(state)) return undefined;
  const { spec } = job.record;
  return {
    run: job.gang.run,
    member: member.member,
    team: spec.team,
    class: spec.class,
    urgent: job.urgent,
    revocable: isRevocable(spec),
    accelerators: member.accelerators,
    cores: spec.perMember.cores,
    memoryMiB: spec.perMember.memoryMiB,
  };
}

/**
 * Computes the free cores and memory. Declared sizes are hints, so measured
 * usage counts if it is higher.
 */
function freeCapacity(
  agent: AgentView,
  held: HeldMember[],
): WorkerView["free"] {
  const { capacity } = agent.inventory;
  const { usage } = agent;
  const recent = usage.age < usageAgeLimit;
  let cores = 0;
  let memoryMiB = 0;
  for (const member of held) {
    cores += member.cores;
    memoryMiB += member.memoryMiB;
  }
  if (recent) {
    cores = Math.max(cores, usage.cores);
    memoryMiB = Math.max(memoryMiB, usage.memoryMiB);
  }
  return {
    cores: Math.max(0, capacity.cores - cores),
    memoryMiB: Math.max(0, capacity.memoryMiB - memoryMiB),
  };
}

/**
 * Whether a worker became available or a member left it. Measured usage changes
 * all the time, so it does not count.
 */
function gainedCapacity(former: WorkerView, view: WorkerView): boolean {
  if (view.available && !former.available) return true;
  const held = new Set(view.held.map(memberKey));
  return former.held.some((member) => !held.has(memberKey(member)));
}

function memberKey({ run, member }: HeldMember): string {
  return `${run.job}\n${run.epoch}\n${member}`;
}

/**
 * Adds a view to the totals of teams and the runs that were seen, or removes it
 * if `sign` is -1.
 */
function countView(context: Context, view: WorkerView, sign: 1 | -1): void {
  const { jobs, now } = context;
  const { worker } = view.inventory;
  for (const { run, team, accelerators } of view.held) {
    const before = jobs.held.get(team) ?? 0;
    jobs.held.set(team, before + sign * accelerators.length);
    const seen = jobs.runs.get(run.job);
    if (sign > 0) {
      const next = seen ?? createSeenRun(now);
      if (run.epoch > next.epoch) {
        next.since = now;
        next.epoch = run.epoch;
        next.formerWorkers = new Set(next.workers);
      }
      next.workers.add(worker);
      next.formerWorkers.add(worker);
      next.lastSeen = now;
      jobs.runs.set(run.job, next);
    } else if (seen !== undefined) {
      seen.workers.delete(worker);
    }
  }
}

function createSeenRun(now: Milliseconds): SeenRun {
  return {
    epoch: 0,
    since: now,
    workers: new Set(),
    formerWorkers: new Set(),
    lastSeen: now,
  };
}

/**
 * Drops runs that no worker has reported for a while, and refreshes lost
 * workers, whose leases lapse without an event. Called about once a second.
 */
export function sweepSeenRuns(context: Context): void {
  const { jobs, now } = context;
  for (const [job, seen] of jobs.runs) {
    const old = now > seen.lastSeen + seenRunRetention;
    if (seen.workers.size === 0 && old) jobs.runs.delete(job);
  }
  for (const worker of [...context.jobs.lost]) refreshWorker(context, worker);
}
