/**
 * Tells whether a worker can run a task, and what stopping a run costs.
 *
 * @module
 */

import { SECOND } from "@dragonflyledge/model";
import type { Milliseconds } from "@dragonflyledge/model";
import type { Step } from "../job.ts";
import { isEvacuated } from "../order/evacuated_domains.ts";
import { addCapacity, gangOf, taskCapacity } from "../runs.ts";
import type { Capacity } from "../messages.ts";
import type { Run, SchedulerState, Worker } from "../state.ts";

/** Number of cores that one accelerator counts as when work is weighed. */
const CORES_PER_ACCELERATOR = 8;
/** Run time that a checkpointing task loses when it is stopped and restored. */
const CHECKPOINT_LOSS: Milliseconds = 300;
/** Typical time from a crash until the tasks of the worker start again. */
const CRASH_DELAY: Milliseconds = 4 * SECOND;
/** How much more the crash of an urgent run counts. */
const URGENT_CRASH_FACTOR = 4;
/**
 * Cost, in core-seconds, of waiting for a run that is stopping already, so
 * that free capacity is preferred to it.
 */
const STOPPING_COST = 0.5;

/**
 * A worker whose agent was not heard for this long gets no tasks. Agents report
 * at least every 0.8 s.
 */
const AGENT_SILENCE_LIMIT: Milliseconds = 2 * SECOND;

/** A worker that may take tasks of a step, with its free capacity. */
export interface CandidateWorker {
  worker: Worker;
  free: Capacity;
  /** Number of the step's tasks on the worker, for the step's limit. */
  stepTasks: number;
}

/**
 * Whether a task that is placed on the worker now can be expected to start: the
 * worker does not drain, it answers, its failure domain is not evacuated, and
 * its agent is connected and reports. Its heartbeat alone does not show that it
 * is there; a late one may come from a worker that left.
 */
export function isUsable(
  state: SchedulerState,
  worker: Worker,
  now: Milliseconds,
): boolean {
  const { draining, reachable } = worker.state;
  if (draining || !reachable || !worker.listed) return false;
  if (isEvacuated(state, worker)) return false;
  const agent = state.agents.get(worker.agent);
  return agent?.connected === true &&
    now - agent.lastHeard < AGENT_SILENCE_LIMIT;
}

/** Whether one more task of the step fits on the worker. */
export function fits(candidate: CandidateWorker, step: Step): boolean {
  const { free } = candidate;
  return free.accelerators >= step.accelerators &&
    free.megabytes >= step.megabytes &&
    (step.fillsIdleCores || free.millicores >= step.millicores) &&
    (step.maxPerWorker === 0 || candidate.stepTasks < step.maxPerWorker);
}

/** Subtracts a task of the step from the worker's free capacity. */
export function allocateTask(candidate: CandidateWorker, step: Step): void {
  addCapacity(candidate.free, taskCapacity(step), -1);
  candidate.stepTasks++;
}

/** Work, in core-seconds, that is lost if the run and its gang are stopped. */
export function stopCost(run: Run, now: Milliseconds): number {
  if (run.stopping) return STOPPING_COST;
  return gangOf(run).reduce((sum, each) => sum + lostWork(each, now), 0);
}

/**
 * Work, in core-seconds, that is lost if the run and its gang end with a crash,
 * the time until they start again included.
 */
export function crashCost(run: Run, now: Milliseconds): number {
  const urgency = run.job.policy.priority === 0 ? URGENT_CRASH_FACTOR : 1;
  return urgency * gangOf(run).reduce(
    (sum, each) =>
      sum + lostWork(each, now) +
      taskWeight(each.step) * CRASH_DELAY / SECOND,
    0,
  );
}

/** Work, in core-seconds, that is lost if this run alone is stopped. */
function lostWork(run: Run, now: Milliseconds): number {
  const elapsed = Math.max(0, now - run.startedAt);
  const lost = run.step.checkpointing
    ? Math.min(elapsed, CHECKPOINT_LOSS)
    : elapsed;
  return lost / 1000 * taskWeight(run.step);
}

/** Number of cores that a task occupies, with accelerators converted. */
export function taskWeight(step: Step): number {
  return step.millicores / 1000 + CORES_PER_ACCELERATOR * step.accelerators;
}
