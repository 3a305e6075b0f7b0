/**
 * Decides which workers can be trusted with tasks.
 *
 * Load pattern: a tenth of the workers fails all that it starts for some
 * seconds, while heartbeats go on. Its runs end at once, so that it always has
 * room, and waiting tasks use up their attempts there. Tasks that fail by their
 * own fault, or jobs that always fail, must not take sound workers out of
 * service: a failure that other workers share speaks against the step, and one
 * failure alone against nobody for long.
 *
 * @module
 */

import { SECOND } from "@dragonflyledge/model";
import type { Milliseconds } from "@dragonflyledge/model";
import { isUsable } from "../place/fit.ts";
import type { SchedulerState, Worker } from "../state.ts";
import { beginOf, isPast } from "./proof.ts";
import { attributeFailures, Attribution } from "./step_outcomes.ts";
import type { StepOutcomes } from "./step_outcomes.ts";
import { clear, HealthLevel, setLevel } from "./worker_health.ts";

/**
 * Failed runs, each with a cause of its own, from which a worker is on
 * probation. One may be the task's own fault, as 0.5 to 5 % of all runs are.
 */
const PROBATION_FAILURES = 2;
/**
 * Failures that are older say nothing, so that a worker which gets no probe is
 * used again; twice the longest time for which workers fail.
 */
const FAILURE_MEMORY: Milliseconds = 15 * SECOND;

/** Brings the levels of all workers up to date. */
export function assessWorkers(
  state: SchedulerState,
  now: Milliseconds,
): void {
  const suspected: Worker[] = [];
  for (const worker of state.workers.values()) {
    const { health } = worker;
    if (health.failed.length === 0) continue;
    health.failed = health.failed
      .filter(({ at }) => now - at < FAILURE_MEMORY);
    if (health.failed.length === 0) {
      clear(state, worker, "no failure for long");
      continue;
    }
    const level = levelOf(worker);
    if (level === HealthLevel.Probation) suspected.push(worker);
    else setLevel(state, worker, level, "the tasks were at fault");
  }
  const common = servicesAtFault(state, suspected, now);
  for (const worker of suspected) {
    const level = common.has(worker.state.service)
      ? HealthLevel.Doubtful
      : HealthLevel.Probation;
    setLevel(state, worker, level, "most workers fail");
  }
}

/**
 * Services of which more than half of the usable workers would be on probation.
 * Then something that they share is at fault, or the tasks.
 */
function servicesAtFault(
  state: SchedulerState,
  suspected: Worker[],
  now: Milliseconds,
): Set<string> {
  const counts = new Map<string, number>();
  if (suspected.length === 0) return new Set();
  const add = (worker: Worker, amount: number) => {
    if (!isUsable(state, worker, now)) return;
    const { service } = worker.state;
    counts.set(service, (counts.get(service) ?? 0) + amount);
  };
  for (const worker of state.workers.values()) add(worker, -1);
  for (const worker of suspected) add(worker, 2);
  const common = [...counts].filter(([, excess]) => excess > 0);
  return new Set(common.map(([service]) => service));
}

function levelOf(worker: Worker): HealthLevel {
  const { failures, unclear } = countFailures(worker);
  worker.health.avoided = failures > 0;
  if (failures + unclear === 0) return HealthLevel.Sound;
  return failures + unclear < PROBATION_FAILURES || mostSurvive(worker)
    ? HealthLevel.Doubtful
    : HealthLevel.Probation;
}

/**
 * Number of failures that the worker seems to be the cause of, and of steps that
 * may be at fault themselves. Several such steps fail by chance on one worker
 * less often than one worker fails.
 */
function countFailures(
  worker: Worker,
): { failures: number; unclear: number } {
  const byStep = new Map<StepOutcomes, Set<string>>();
  for (const { task, gang, outcomes } of worker.health.failed) {
    const tasks = byStep.get(outcomes) ?? new Set();
    // The members of a gang fail together.
    byStep.set(outcomes, tasks.add(gang ? "" : task));
  }
  let failures = 0;
  let unclear = 0;
  for (const [outcomes, tasks] of byStep) {
    const attribution = attributeFailures(outcomes, worker.state.key);
    if (attribution === Attribution.Worker) failures += tasks.size;
    if (attribution === Attribution.Open) failures++;
    if (attribution === Attribution.Unclear) unclear++;
  }
  return { failures, unclear };
}

/** Whether more of the runs that began with the failed ones are still alive. */
function mostSurvive({ health, runs }: Worker): boolean {
  const { failed } = health;
  const since = Math.min(...failed.map(({ startedAt }) => startedAt));
  const soonest = Math.min(...failed.map(({ failedAfter }) => failedAfter));
  const alive = [...runs].filter((run) =>
    run.startedAt >= since && isPast(run.progressAt - beginOf(run), soonest)
  );
  return alive.length > failed.length;
}
