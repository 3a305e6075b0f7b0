/**
 * Ends queued jobs that no set of workers can hold any more.
 *
 * @module
 */

import {
  HOUR,
  MINUTE,
  Reason,
  SECOND,
  WORKER_LOSS_DELAY,
} from "@dragonflyledge/model";
import type { Milliseconds } from "@dragonflyledge/model";
import { placeGang } from "@dragonflyledge/placement";
import type { WorkerView } from "@dragonflyledge/placement";
import { homeIndex, isRevocable, listViews } from "./capacity.ts";
import type { Context } from "./context.ts";
import { endJob } from "./endings.ts";
import { shapeKey } from "./shape_key.ts";
import type { Job } from "./state.ts";

/**
 * A job ends after it has been impossible for this long. The replacement of
 * lost workers and changes of the configuration or the homes take far less, and
 * must not end jobs.
 */
export const IMPOSSIBLE_TIME: Milliseconds = 10 * MINUTE;

const checkInterval: Milliseconds = 5 * SECOND;
/** Limits the time of one check: a search takes up to 3 ms at 860 workers. */
const searchLimitPerCheck = 4;

/**
 * Checks queued jobs, those with the oldest check first, and ends the ones that
 * have been impossible for long enough. Called on each tick.
 */
export function endImpossible(context: Context): void {
  const { jobs, now } = context;
  if (now < jobs.nextFitCheck) return;
  jobs.nextFitCheck = now + checkInterval;
  recordWorkersSeen(context);
  const waiting = [...jobs.jobs.values()].filter((job) =>
    job.phase === "queued"
  );
  if (!canDecide(context)) {
    for (const job of waiting) job.impossibleSince = undefined;
    return;
  }
  waiting.sort((left, right) => left.lastFitCheckAt - right.lastFitCheckAt);
  const workers = listPresentWorkers(context);
  const known = new Map<string, boolean>();
  for (const job of waiting) {
    const key = shapeKey(job.record.spec, job.urgent);
    let impossible = known.get(key);
    if (impossible === undefined) {
      if (known.size === searchLimitPerCheck) continue;
      impossible = isImpossible(context, job, workers);
      known.set(key, impossible);
    }
    job.lastFitCheckAt = now;
    applyFitCheck(context, job, impossible);
  }
}

function applyFitCheck(context: Context, job: Job, impossible: boolean): void {
  if (!impossible) {
    job.fitKnown = true;
    job.impossibleSince = undefined;
    return;
  }
  // The job was accepted without a check, because the entry had just started,
  // and would have been refused otherwise.
  if (!job.fitKnown) return endJob(context, job, "failed", Reason.NeverFits);
  job.impossibleSince ??= context.now;
  if (context.now - job.impossibleSince < IMPOSSIBLE_TIME) return;
  endJob(context, job, "failed", Reason.NeverFits);
}

/**
 * Whether this entry knows enough workers to tell that a job can't run. It does
 * not if it may be cut off from a part of them: the loss of a failure domain or
 * a region takes a quarter of the workers or more with it, and a partition
 * lasts up to an hour.
 */
function canDecide({ state, jobs, now }: Context): boolean {
  if (state.stopping || state.configuration === undefined) return false;
  if (jobs.loadsRequired > 0 || jobs.storeDownSince !== undefined) return false;
  if (state.leaseValidUntil <= now) return false;
  const known = jobs.workersSeen;
  const connected = [...known.values()].filter((at) => at === now).length;
  return known.size > 0 && 4 * (known.size - connected) < known.size;
}

/**
 * Records which workers are connected. They are remembered for an hour, since
 * `state.agents` forgets lost agents earlier than a partition may end.
 */
function recordWorkersSeen({ state, jobs, now }: Context): void {
  for (const [worker, agent] of state.agents) {
    if (agent.connected) jobs.workersSeen.set(worker, now);
  }
  for (const [worker, at] of jobs.workersSeen) {
    if (now >= at + HOUR) jobs.workersSeen.delete(worker);
  }
}

/** Lists workers that are connected, or were lost only a short time ago. */
function listPresentWorkers(context: Context): WorkerView[] {
  const { state, now } = context;
  return [...listViews(context)].filter(({ inventory }) => {
    const agent = state.agents.get(inventory.worker);
    return agent !== undefined &&
      (agent.connected || now < agent.lostAt + WORKER_LOSS_DELAY);
  });
}

function isImpossible(
  context: Context,
  job: Job,
  workers: WorkerView[],
): boolean {
  const { spec } = job.record;
  const team = context.state.configuration?.teams.find((one) =>
    one.name === spec.team
  );
  if (team === undefined || job.need > team.acceleratorQuota) return true;
  const place = placeGang({
    spec: { ...spec, revocable: isRevocable(spec) },
    run: { job: "", epoch: 0 },
    urgent: job.urgent,
    workers,
    homes: homeIndex(context),
  });
  return place.isErr() && place.error.kind === "never";
}
