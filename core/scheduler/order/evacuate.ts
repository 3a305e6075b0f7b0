/**
 * Decides which runs are moved off workers that leave.
 *
 * Load pattern: workers announce, some seconds before, that they leave while
 * they run tasks. A run that can't end in time is stopped while its worker
 * still confirms it, so that the task, and its whole gang, goes on elsewhere at
 * once. Otherwise its work is lost later, and if the machine leaves with the
 * worker, the task waits until the grant of its agent has expired.
 *
 * @module
 */

import type { Milliseconds } from "@dragonflyledge/model";
import { gangOf, stopRun } from "../runs.ts";
import type { Run, SchedulerState, Worker } from "../state.ts";

/** A stop is ordered only if the worker has at least this long left. */
const STOP_TIME: Milliseconds = 300;
/**
 * Workers often stay longer than they announce. A run without checkpoints that
 * needs no more than this beyond that time is left to end there.
 */
const EXPECTED_EXTENSION: Milliseconds = 1000;
/** Progress in percent from which the rate of a run is known. */
const MIN_PROGRESS = 5;

/** Updates when the worker leaves at the earliest, after a report. */
export function noteLeaving(worker: Worker, now: Milliseconds): void {
  const { draining, remaining } = worker.state;
  if (!draining) return;
  // The same notice is reported again until the worker renews it.
  if (worker.leaving?.remaining === remaining) return;
  worker.leaving = { remaining, at: now + remaining };
}

/** Stops runs that can't end before their worker leaves. */
export function evacuateRuns(state: SchedulerState, now: Milliseconds): void {
  for (const worker of state.workers.values()) {
    if (!worker.leaving || !worker.state.reachable) continue;
    const left = worker.leaving.at - now;
    if (left < STOP_TIME) continue;
    for (const run of [...worker.runs]) {
      if (!run.stopping && outlastsWorker(run, left, now)) evacuate(state, run);
    }
  }
}

/** Whether the run needs more time than the worker has left. */
function outlastsWorker(
  run: Run,
  left: Milliseconds,
  now: Milliseconds,
): boolean {
  // It is not known here how many long-running tasks may be down at once.
  if (run.step.longRunning || !run.confirmed) return false;
  const extension = run.step.checkpointing ? 0 : EXPECTED_EXTENSION;
  return remainingTime(run, now) > left + extension;
}

/** Time that the run still needs, by its progress or else by its estimate. */
export function remainingTime(run: Run, now: Milliseconds): Milliseconds {
  const { percent, progressAt, startedAt } = run;
  const duration = percent < MIN_PROGRESS
    ? run.step.estimate
    : (progressAt - startedAt) * 100 / percent;
  return Math.max(0, startedAt + duration - now);
}

/** Stops the run and its gang, whose tasks then start again elsewhere. */
function evacuate(state: SchedulerState, run: Run): void {
  const runs = gangOf(run).filter((each) => !each.stopping);
  for (const each of runs) stopRun(state, each);
  state.effects.push({
    kind: "log",
    level: "info",
    text: "Runs moved off a leaving worker.",
    fields: {
      job: run.job.request.id,
      worker: run.worker,
      runs: runs.map((each) => each.name).join(),
      percent: run.percent,
    },
  });
}
