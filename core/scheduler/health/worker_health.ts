/**
 * What is known of the health of each worker, from how its runs end.
 *
 * Load pattern: a worker fails all that it starts for some seconds, while runs
 * that it started before go on. Only a run that began no earlier than the failed
 * ones, and went on where they failed, shows that the worker is sound.
 *
 * @module
 */

import { SECOND } from "@dragonflyledge/model";
import type { Milliseconds } from "@dragonflyledge/model";
import type { Run, SchedulerState, Worker } from "../state.ts";
import { beginOf, isPast } from "./proof.ts";
import { addFailure, addSuccess, outcomesOf } from "./step_outcomes.ts";
import type { StepOutcomes } from "./step_outcomes.ts";

/** A worker that refused a start is avoided for this long. */
const REFUSAL_AVOIDANCE: Milliseconds = 500;
/** Longest such time, which doubles with each refusal in a row. */
const MAX_REFUSAL_AVOIDANCE: Milliseconds = 4 * SECOND;
/** How far a worker can be trusted with tasks. */
export const HealthLevel = {
  Sound: "sound",
  /** A run failed; the worker is avoided by tasks that can wait a moment. */
  Doubtful: "doubtful",
  /** Several runs failed; only single probes start on the worker. */
  Probation: "probation",
} as const;
export type HealthLevel = typeof HealthLevel[keyof typeof HealthLevel];

/** A failed run that may be the fault of its worker. */
export interface FailedRun {
  task: string;
  gang: boolean;
  outcomes: StepOutcomes;
  startedAt: Milliseconds;
  failedAfter: Milliseconds;
  /** Progress that its worker listed last. */
  percent: number;
  at: Milliseconds;
}

/** What is known of a worker's health; the successes since are in no list. */
export interface WorkerHealth {
  level: HealthLevel;
  /** Starts that were refused since the worker last began a run. */
  refusals: number;
  /** When the last one was refused. */
  refusedAt: Milliseconds;
  /** Whether a failed run may not be the fault of its step. */
  avoided: boolean;
  /** Failed runs since the last sign that the worker is sound, in order. */
  failed: FailedRun[];
}

/** Creates the health of a worker of which nothing is known. */
export function createHealth(): WorkerHealth {
  return {
    level: HealthLevel.Sound,
    refusals: 0,
    refusedAt: -Infinity,
    avoided: false,
    failed: [],
  };
}

/** Notes that a run has failed on the worker. */
export function noteFailed(
  worker: Worker,
  run: Run,
  now: Milliseconds,
): void {
  const failedAfter = Math.max(0, now - beginOf(run));
  worker.health.failed.push({
    task: run.name,
    gang: run.step.gang,
    outcomes: addFailure(run, failedAfter, now),
    startedAt: run.startedAt,
    failedAfter,
    percent: run.percent,
    at: now,
  });
}

/** Notes that a run is done on the worker. */
export function noteDone(
  state: SchedulerState,
  worker: Worker,
  run: Run,
): void {
  addSuccess(run);
  if (worker.health.failed.length === 0) return;
  if (isLaterRun(worker, run)) prove(state, worker, "a run succeeded");
}

/** Notes that the worker lists the run as running at `run.progressAt`. */
export function noteWorking(
  state: SchedulerState,
  worker: Worker,
  run: Run,
): void {
  const { health } = worker;
  const { failed } = health;
  if (run.startedAt > health.refusedAt) health.refusals = 0;
  if (failed.length === 0 && run.job.outcomes.size === 0) return;
  const worked = run.progressAt - beginOf(run);
  const outcomes = outcomesOf(run);
  if (outcomes && isPast(worked, outcomes.failedAfter)) addSuccess(run);
  if (failed.length === 0 || run.stopping || !isLaterRun(worker, run)) return;
  const isBeyond = failed.every((each) =>
    isPast(worked, each.failedAfter) && run.percent >= each.percent
  );
  if (isBeyond) prove(state, worker, "a run works on");
}

/** Notes that the worker has refused a start, and avoids it for a while. */
export function noteRefused(worker: Worker, now: Milliseconds): void {
  const { health } = worker;
  health.refusals++;
  health.refusedAt = now;
  const pause = Math.min(
    MAX_REFUSAL_AVOIDANCE,
    REFUSAL_AVOIDANCE * 2 ** (health.refusals - 1),
  );
  worker.avoidUntil = Math.max(worker.avoidUntil, now + pause);
}

/** Whether the run began no earlier than the failed ones. */
function isLaterRun({ health }: Worker, run: Run): boolean {
  return health.failed.every(({ startedAt }) => run.startedAt >= startedAt);
}

/** Notes that the failed runs were not the fault of the worker, or are over. */
function prove(state: SchedulerState, worker: Worker, reason: string): void {
  const { level, failed } = worker.health;
  // After a probation the worker may have failed and be sound again.
  if (level !== HealthLevel.Probation) {
    for (const { outcomes } of failed) outcomes.provenOn.add(worker.state.key);
  }
  clear(state, worker, reason);
}

/** Forgets the failed runs of a worker that is taken for sound. */
export function clear(
  state: SchedulerState,
  worker: Worker,
  reason: string,
): void {
  setLevel(state, worker, HealthLevel.Sound, reason);
  worker.health.failed = [];
}

/** Changes the level, and logs the begin and the end of a probation. */
export function setLevel(
  state: SchedulerState,
  worker: Worker,
  level: HealthLevel,
  reason: string,
): void {
  const { health, agent } = worker;
  const before = health.level;
  if (before === level) return;
  health.level = level;
  const onProbation = level === HealthLevel.Probation;
  if (!onProbation && before !== HealthLevel.Probation) return;
  const tasks = health.failed.map(({ task }) => task).join();
  const fields = { agent, worker: worker.state.key, tasks };
  state.effects.push({
    kind: "log",
    level: "warn",
    text: onProbation ? "Worker on probation." : "Worker off probation.",
    fields: onProbation ? fields : { ...fields, reason },
  });
}

/** Number of workers on probation. */
export function countOnProbation(state: SchedulerState): number {
  let count = 0;
  for (const { health } of state.workers.values()) {
    if (health.level === HealthLevel.Probation) count++;
  }
  return count;
}
