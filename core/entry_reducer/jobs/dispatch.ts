/**
 * Rounds of placement, which find workers for waiting jobs and start them.
 *
 * @module
 */

import type { RunId, WorkerId } from "@dragonflyledge/model";
import { placeGang } from "@dragonflyledge/placement";
import type {
  PlacementFailure,
  PlacementPlan,
} from "@dragonflyledge/placement";
import {
  heldBy,
  homeIndex,
  isRevocable,
  listViews,
  lostWork,
  markFreed,
} from "./capacity.ts";
import type { Context } from "./context.ts";
import { isShort } from "./estimates.ts";
import { updateHold } from "./hold.ts";
import { listCandidates } from "./queue.ts";
import { shapeKey } from "./shape_key.ts";
import { startGang } from "./start.ts";
import type { Job } from "./state.ts";
import { preemptForQuota } from "./yield_quota.ts";

/**
 * Interval of rounds if no event makes one due, in milliseconds. Such a round
 * sees what changes only with time, such as a worker that is available again.
 */
const roundInterval = 1000;
/** Limit of searches without result in a round; each scans all workers. */
const failedSearchLimit = 16;
/**
 * Milliseconds without a round for each search without result in the last one.
 * A search takes up to 3 ms at 860 workers, so placement takes a small share of
 * the time.
 */
const failedSearchPause = 25;
/**
 * Interval in milliseconds after which jobs that found no place are tried again
 * without an event, because measured usage may have decreased.
 */
const refreshInterval = 10_000;
/** Number of placement keys for which a failed search is remembered. */
const noPlaceLimit = 5000;
/**
 * A job that has waited for this long, in milliseconds, may run again on
 * workers on which it failed.
 */
const exclusionTime = 5000;

/**
 * Runs a round of placement if one is due: tries to start the waiting jobs in
 * order, and updates the hold. Called on each tick.
 */
export function placeWaitingJobs(context: Context): void {
  const { jobs, state, now } = context;
  if (state.stopping || state.configuration === undefined) return;
  if (jobs.loadsRequired > 0) return;
  if (now < jobs.earliestRound) return;
  if (!jobs.roundDue && now < jobs.nextRound) return;
  if (now >= jobs.nextRefresh) {
    jobs.nextRefresh = now + refreshInterval;
    markFreed(context);
  }
  listViews(context);
  homeIndex(context);
  jobs.roundDue = false;
  jobs.nextRound = now + roundInterval;
  const waiting: Job[] = [];
  let failedSearches = 0;
  for (const job of listCandidates(context)) {
    const result = tryStart(context, job);
    if (result === "started") continue;
    waiting.push(job);
    if (result === "searched") failedSearches++;
    if (failedSearches < failedSearchLimit) continue;
    jobs.roundDue = true;
    break;
  }
  jobs.earliestRound = now + failedSearches * failedSearchPause;
  updateHold(context, waiting);
}

/** Tries to start a queued urgent job at once, without waiting for a round. */
export function placeUrgentJob(context: Context, job: Job): void {
  const { state, jobs } = context;
  if (state.stopping || jobs.loadsRequired > 0) return;
  if (!job.urgent || job.phase !== "queued") return;
  listViews(context);
  tryStart(context, job);
}

/**
 * Starts a job if it has a place. Returns `skipped` if none was searched for,
 * and `searched` if none was found.
 */
function tryStart(
  context: Context,
  job: Job,
): "started" | "skipped" | "searched" {
  const { jobs, state, now } = context;
  const { spec } = job.record;
  const team = state.configuration?.teams.find((one) => one.name === spec.team);
  const quota = team?.acceleratorQuota ?? 0;
  const held = heldBy(context, spec.team);
  if (held + job.need > quota) {
    job.wait = `the team holds ${held} of its quota of ${quota} accelerators`;
    if (job.urgent) preemptForQuota(context, job, held + job.need - quota);
    return "skipped";
  }
  if (!spec.idempotent && state.leaseValidUntil <= now) {
    job.wait = "the entry's lease in the store has lapsed";
    return "skipped";
  }
  const key = placementKey(context, job);
  const known = jobs.noPlace.get(key);
  if (
    known?.version === jobs.capacityVersion &&
    !mayReuseFailedWorkers(context, job)
  ) {
    job.wait = known.reason;
    return "skipped";
  }
  const place = findPlace(context, job, listExcluded(context, job));
  if ("kind" in place) {
    job.wait = place.reason;
    if (jobs.noPlace.size > noPlaceLimit) jobs.noPlace.clear();
    const { reason } = place;
    jobs.noPlace.set(key, { version: jobs.capacityVersion, reason });
    return "searched";
  }
  startGang(context, job, place);
  return "started";
}

function findPlace(
  context: Context,
  job: Job,
  excluded: Set<WorkerId>,
): PlacementPlan | PlacementFailure {
  const { jobs } = context;
  const { refusedBy } = job;
  // An agent may refuse repeatedly, for instance while it has an older homes
  // table, so another place is preferred.
  const avoid = refusedBy !== undefined && !excluded.has(refusedBy);
  const { id, spec, epoch } = job.record;
  const place = placeGang({
    spec: { ...spec, revocable: isRevocable(spec) },
    run: { job: id, epoch: epoch + 1 },
    urgent: job.urgent,
    workers: jobs.views.values(),
    homes: homeIndex(context),
    excluded: avoid ? new Set([...excluded, refusedBy]) : excluded,
    lostWork: (run: RunId) => lostWork(context, run.job),
    knownToFit: true,
  });
  if (place.isOk()) return place.value;
  if (!avoid) return place.error;
  job.refusedBy = undefined;
  return findPlace(context, job, excluded);
}

/** Whether the job may run again on workers on which it failed. */
function mayReuseFailedWorkers({ now }: Context, job: Job): boolean {
  return job.record.failedOn.length > 0 && now > job.queuedAt + exclusionTime;
}

function listExcluded(context: Context, job: Job): Set<WorkerId> {
  const { failedOn } = job.record;
  const excluded = new Set(mayReuseFailedWorkers(context, job) ? [] : failedOn);
  const { hold } = context.jobs;
  if (hold !== undefined && !mayUseHeldWorkers(context, job)) {
    for (const worker of hold.workers) excluded.add(worker);
  }
  return excluded;
}

/** Whether the job may be placed on workers that are held for another job. */
function mayUseHeldWorkers(context: Context, job: Job): boolean {
  const { hold } = context.jobs;
  if (hold === undefined || job.urgent) return true;
  if (hold.job === job.record.id) return true;
  if (hold.draining) return false;
  const { spec } = job.record;
  return isRevocable(spec) || isShort(context, spec);
}

/**
 * Returns the key under which a failed search is remembered. It applies to all
 * jobs with an equal key.
 */
function placementKey(context: Context, job: Job): string {
  const { spec, failedOn } = job.record;
  const shape = shapeKey(spec, job.urgent);
  return [shape, mayUseHeldWorkers(context, job), ...failedOn].join("\n");
}
