/**
 * Queues of waiting jobs.
 *
 * @module
 */

import { MINUTE } from "@dragonflyledge/model";
import type { Milliseconds } from "@dragonflyledge/model";
import { heldBy } from "./capacity.ts";
import { setJobTimer } from "./context.ts";
import type { Context } from "./context.ts";
import type { Job } from "./state.ts";

/**
 * Number of levels in the queue of a team. Level 0 is for urgent jobs. Each
 * further level is for jobs that have received twice the service of the one
 * before, see `serviceLevel`.
 */
const levelCount = 8;
/** Limits the jobs of one team in a round of placement, to bound its cost. */
const candidateLimitPerTeam = 256;

/** Puts a job into the queue of its team; `wait` says why it waits. */
export function enqueue(context: Context, job: Job, wait: string): void {
  const { jobs, now } = context;
  if (job.phase !== "queued") job.queuedAt = now;
  job.phase = "queued";
  job.wait = wait;
  job.level = serviceLevel(job);
  const team = job.record.spec.team;
  const queue = jobs.queues.get(team) ??
    Array.from({ length: levelCount }, () => new Set<Job>());
  queue[job.level]?.add(job);
  jobs.queues.set(team, queue);
  jobs.roundDue = true;
  if (job.notBefore > now) setJobTimer(context, job, job.notBefore);
}

/** Takes a job out of its queue. */
export function dequeue(context: Context, job: Job): void {
  const queue = context.jobs.queues.get(job.record.spec.team);
  queue?.[job.level]?.delete(job);
}

/**
 * Returns the level of a job. Jobs with the least attained service come first,
 * by powers of two of accelerator-minutes.
 */
function serviceLevel(job: Job): number {
  if (job.urgent) return 0;
  const service = Math.floor(Math.log2(1 + job.attainedService / MINUTE));
  return 1 + Math.min(levelCount - 2, service);
}

/**
 * Lists the jobs to place, in this order: urgent jobs, then the job with a
 * hold, then jobs within the guarantee of their team, then the others. Equal
 * jobs are ordered by the accelerators that their team holds for its weight,
 * the least first, then by level and by time in the queue.
 */
export function listCandidates(context: Context): Job[] {
  const { jobs, state, now } = context;
  const candidates: { job: Job; rank: number; share: number }[] = [];
  for (const [name, queue] of jobs.queues) {
    const team = state.configuration?.teams.find((one) => one.name === name);
    if (team === undefined) {
      for (const job of listReady(queue, now)) {
        job.wait = "its team is not configured";
      }
      continue;
    }
    const held = heldBy(context, name);
    const guaranteed = team.guarantees.reduce(
      (sum, shape) => sum + shape.accelerators * shape.count,
      0,
    );
    for (const job of listReady(queue, now)) {
      const rank = rankOf(context, job, held + job.need <= guaranteed);
      candidates.push({ job, rank, share: held / Math.max(0.01, team.weight) });
    }
  }
  candidates.sort((a, b) =>
    a.rank - b.rank || a.share - b.share || a.job.level - b.job.level ||
    a.job.queuedAt - b.job.queuedAt
  );
  return candidates.map(({ job }) => job);
}

function rankOf(context: Context, job: Job, guaranteed: boolean): number {
  if (job.urgent) return 0;
  if (context.jobs.hold?.job === job.record.id) return 1;
  return guaranteed ? 2 : 3;
}

/** Lists the jobs of a team that may be placed now, lowest level first. */
function listReady(queue: Set<Job>[], now: Milliseconds): Job[] {
  const ready: Job[] = [];
  for (const level of queue) {
    for (const job of level) {
      if (ready.length >= candidateLimitPerTeam) return ready;
      if (job.notBefore <= now) ready.push(job);
    }
  }
  return ready;
}
