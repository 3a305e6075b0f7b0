/**
 * Holds: workers that are kept for a large gang that has waited too long, since
 * small jobs would otherwise take each worker as it comes free.
 *
 * @module
 */

import { MINUTE } from "@dragonflyledge/model";
import type { Milliseconds, RunId } from "@dragonflyledge/model";
import { placeGang } from "@dragonflyledge/placement";
import type {
  HeldMember,
  PlacementPlan,
  WorkerView,
} from "@dragonflyledge/placement";
import { homeIndex, isRevocable, markFreed, specOf } from "./capacity.ts";
import { audit } from "./context.ts";
import type { Context } from "./context.ts";
import { chooseEnding } from "./endings.ts";
import { expectedRunTime } from "./estimates.ts";
import { stopGang } from "./run.ts";
import type { Hold, Job } from "./state.ts";

/** A job must have waited for this long to get a hold. */
const holdDelay: Milliseconds = MINUTE;
/**
 * A hold ends after this time. Its job gets another one no sooner than the same
 * time later.
 */
const holdDuration: Milliseconds = 10 * MINUTE;

/**
 * Ends a hold that has expired, grants one to the first large gang that has
 * waited too long, and stops backfilled work once that makes room for the gang.
 * There is one hold at a time, so that holds can't take all capacity. `waiting`
 * are the jobs that the round of placement did not start, in order.
 */
export function updateHold(context: Context, waiting: Job[]): void {
  const { jobs, now } = context;
  if (jobs.hold !== undefined && now >= jobs.hold.until) {
    const job = jobs.jobs.get(jobs.hold.job);
    if (job !== undefined) job.noHoldBefore = now + holdDuration;
    setHold(context, undefined);
  }
  const { hold } = jobs;
  if (hold === undefined) {
    const job = waiting.find((one) => mayGetHold(context, one));
    if (job !== undefined) grantHold(context, job);
    return;
  }
  const job = jobs.jobs.get(hold.job);
  if (job?.phase === "queued" && !hold.draining) drain(context, hold, job);
}

function setHold(context: Context, hold: Hold | undefined): void {
  context.jobs.hold = hold;
  markFreed(context);
}

/**
 * Whether the job may get a hold: it has waited for long enough, and needs as
 * many accelerators as the largest worker has.
 */
function mayGetHold({ jobs, now }: Context, job: Job): boolean {
  if (now < job.queuedAt + holdDelay || now < job.noHoldBefore) return false;
  let largest = 1;
  for (const { inventory } of jobs.views.values()) {
    largest = Math.max(largest, inventory.capacity.accelerators);
  }
  return job.need >= largest;
}

/** Grants a hold of the workers that are expected to be free first. */
function grantHold(context: Context, job: Job): void {
  const { now } = context;
  const remaining = (run: RunId) => remainingRunTime(context, run);
  const plan = findPlaceByStopping(
    context,
    job,
    (held) => !held.urgent,
    remaining,
  );
  if (plan === undefined) return;
  const workers = new Set(plan.workers.map(({ worker }) => worker));
  setHold(context, {
    job: job.record.id,
    workers,
    until: now + holdDuration,
    draining: false,
  });
  audit(context, job, {
    kind: "hold",
    reason: job.wait,
    detail: { workers: workers.size },
  });
}

/** Returns the expected remaining run time, a minute if the job is unknown. */
function remainingRunTime({ jobs, now, ...rest }: Context, run: RunId): number {
  const spec = specOf({ jobs, now, ...rest }, run.job);
  const since = jobs.runs.get(run.job)?.since ?? now;
  if (spec === undefined) return MINUTE;
  const expected = expectedRunTime({ jobs, now, ...rest }, spec);
  return Math.max(0, expected - (now - since));
}

/**
 * Stops revocable work of this entry on the held workers, if the gang fits
 * after that.
 */
function drain(context: Context, hold: Hold, job: Job): void {
  const { jobs } = context;
  const stoppable = (held: HeldMember, view: WorkerView) => {
    const other = jobs.jobs.get(held.run.job);
    return hold.workers.has(view.inventory.worker) && !held.urgent &&
      other?.gang?.phase === "running" && isRevocable(other.record.spec);
  };
  const lost = (run: RunId) =>
    jobs.now - (jobs.runs.get(run.job)?.since ?? jobs.now);
  const plan = findPlaceByStopping(context, job, stoppable, lost);
  if (plan === undefined || plan.victims.length === 0) return;
  hold.draining = true;
  markFreed(context);
  for (const run of plan.victims) {
    const victim = jobs.jobs.get(run.job);
    if (victim === undefined) continue;
    const reason = `makes room for ${hold.job}, which has a hold`;
    stopGang(context, victim, chooseEnding(victim, reason, false));
  }
}

/**
 * Searches a place for the gang as if the members for which `stoppable` returns
 * true could be stopped for it. Those with the least `lostWork` are preferred.
 */
function findPlaceByStopping(
  context: Context,
  job: Job,
  stoppable: (held: HeldMember, view: WorkerView) => boolean,
  lostWork: (run: RunId) => number,
): PlacementPlan | undefined {
  const workers = [...context.jobs.views.values()].map((view) => ({
    ...view,
    held: view.held.map((held) => ({
      ...held,
      urgent: false,
      revocable: stoppable(held, view),
    })),
  }));
  const { id, spec, epoch } = job.record;
  const place = placeGang({
    spec: { ...spec, revocable: isRevocable(spec) },
    run: { job: id, epoch: epoch + 1 },
    urgent: true,
    workers,
    homes: homeIndex(context),
    excluded: new Set(job.record.failedOn),
    lostWork,
  });
  return place.isOk() ? place.value : undefined;
}
