/**
 * Rounds of placement.
 *
 * @module
 */

import type { RunId, WorkerId } from "@dragonflyledge/model";
import { placeGang } from "@dragonflyledge/placement";
import type { NoPlace, Plan } from "@dragonflyledge/placement";
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

/** A round without a change picks up what only time changes. */
const roundInterval = 1000;
/** Searches without result in one round; a search scans all workers. */
const failedSearchLimit = 16;
/** Pause per search without result; a search takes up to 3 ms at 860 workers. */
const failedSearchPause = 25;
/** Usage changes without an event that frees capacity. */
const refreshInterval = 10_000;
const noPlaceLimit = 5000;
/** Workers on which a job failed are used again if it waits for this long. */
const exclusionTime = 5000;

/** Tries to place waiting jobs, if anything changed. */
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
  let misfits = 0;
  for (const job of listCandidates(context)) {
    const result = tryStart(context, job);
    if (result === "started") continue;
    waiting.push(job);
    if (result === "searched") misfits++;
    if (misfits < failedSearchLimit) continue;
    jobs.roundDue = true;
    break;
  }
  jobs.earliestRound = now + misfits * failedSearchPause;
  updateHold(context, waiting);
}

/** Places one job, for urgent work that cannot wait for a round. */
export function placeUrgentJob(context: Context, job: Job): void {
  const { state, jobs } = context;
  if (state.stopping || jobs.loadsRequired > 0) return;
  if (!job.urgent || job.phase !== "queued") return;
  listViews(context);
  tryStart(context, job);
}

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
): Plan | NoPlace {
  const { jobs } = context;
  const { refusedBy } = job;
  // An agent may refuse again and again, for instance with an older table.
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

/** Whether the job may be placed on workers that are drained for another. */
function mayUseHeldWorkers(context: Context, job: Job): boolean {
  const { hold } = context.jobs;
  if (hold === undefined || job.urgent) return true;
  if (hold.job === job.record.id) return true;
  if (hold.draining) return false;
  const { spec } = job.record;
  return isRevocable(spec) || isShort(context, spec);
}

/** Jobs with equal keys fit or don't fit alike. */
function placementKey(context: Context, job: Job): string {
  const { spec, failedOn } = job.record;
  const shape = shapeKey(spec, job.urgent);
  return [shape, mayUseHeldWorkers(context, job), ...failedOn].join("\n");
}
