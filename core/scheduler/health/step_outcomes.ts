/**
 * Tells whether a step's failed runs are the fault of the step or of the
 * workers.
 *
 * Load pattern: all runs of some jobs fail wherever they start, while some
 * workers fail all that they start. Runs of one step need the same, so that
 * those on other workers show which of both is at fault.
 *
 * @module
 */

import type { Milliseconds } from "@dragonflyledge/model";
import { TaskPhase } from "../job.ts";
import { stepKey } from "../state.ts";
import type { Run } from "../state.ts";

/** Where runs of a step failed, and where others of them did not. */
export interface StepOutcomes {
  /** Longest time after which a run of the step has failed. */
  failedAfter: Milliseconds;
  /** Keys of the workers on which runs failed. */
  failedOn: Set<string>;
  /** When a run of each task last failed, by the task's index. */
  failedAt: Map<number, Milliseconds>;
  /** Those of them on which other work went on afterwards. */
  provenOn: Set<string>;
  /** Keys of the workers on which runs ended as done or got past that time. */
  soundOn: Set<string>;
}

/** Other workers on which a step must have failed to be at fault itself. */
const UNCLEAR_FAILURES = 2;

/** Cause to which the failed runs of a step are attributed. */
export const Attribution = {
  /** The step fails on workers that do other work. */
  Step: "step",
  /** The step has failed on several workers, and nowhere gone on. */
  Unclear: "unclear",
  /** Nothing speaks against the step yet. */
  Open: "open",
  /** Most workers run the step. */
  Worker: "worker",
} as const;
export type Attribution = typeof Attribution[keyof typeof Attribution];

/** Outcomes of the run's step; undefined if none of its runs has failed. */
export function outcomesOf({ job, task }: Run): StepOutcomes | undefined {
  return job.outcomes.get(stepKey(task));
}

/** Adds a failed run of a step. Returns the outcomes of the step. */
export function addFailure(
  run: Run,
  failedAfter: Milliseconds,
  now: Milliseconds,
): StepOutcomes {
  const known = outcomesOf(run) ?? createOutcomes(run);
  run.job.outcomes.set(stepKey(run.task), known);
  known.failedAfter = Math.max(known.failedAfter, failedAfter);
  known.failedOn.add(run.worker);
  known.failedAt.set(run.task.index, now);
  return known;
}

function createOutcomes({ job, task }: Run): StepOutcomes {
  const occurrence = job.progress.occurrences
    .find(({ index }) => index === task.occurrence);
  const done = (occurrence?.steps[task.step] ?? [])
    .filter(({ phase }) => phase === TaskPhase.Done);
  return {
    failedAfter: 0,
    failedOn: new Set(),
    failedAt: new Map(),
    provenOn: new Set(),
    soundOn: new Set(done.map(({ worker }) => worker)),
  };
}

/** Adds a run that is done, or that works longer than failed ones did. */
export function addSuccess(run: Run): void {
  outcomesOf(run)?.soundOn.add(run.worker);
}

/** Returns the cause of the failed runs of the step on this worker. */
export function attributeFailures(
  outcomes: StepOutcomes,
  worker: string,
): Attribution {
  const sound = countOthers(outcomes.soundOn, worker);
  const proven = countOthers(outcomes.provenOn, worker);
  if (sound > proven) return Attribution.Worker;
  if (proven > 0) return Attribution.Step;
  const failed = countOthers(outcomes.failedOn, worker);
  return failed >= UNCLEAR_FAILURES ? Attribution.Unclear : Attribution.Open;
}

function countOthers(workers: Set<string>, worker: string): number {
  return workers.size - Number(workers.has(worker));
}
