/**
 * Applies the crashes of workers that agents report.
 *
 * @module
 */

import { runKey } from "./messages.ts";
import type { WorkerCrash } from "./messages.ts";
import type { Run, SchedulerState } from "./state.ts";

/** A run that was on a worker when it crashed. */
interface CrashedWorkerRun {
  run: Run;
  /** Whether the worker had listed the run for a while, beyond its start. */
  settled: boolean;
}

/** Applies a crash; one whose runs are no longer known has been applied. */
export function applyCrash(state: SchedulerState, crash: WorkerCrash): void {
  const present = findRuns(state, crash);
  if (present.length === 0) return;
  const begun = present.filter((each) => !each.settled);
  state.effects.push({
    kind: "log",
    level: "warn",
    text: "Runs were on a worker that crashed.",
    fields: {
      worker: crash.worker,
      settled: namesOf(present.filter((each) => each.settled)),
      begun: namesOf(begun),
    },
  });
  state.effects.push({ kind: "workerCrashed", begun: begun.length });
}

function findRuns(
  state: SchedulerState,
  crash: WorkerCrash,
): CrashedWorkerRun[] {
  return crash.runs.flatMap((name) => {
    const run = state.runs.get(runKey(name));
    return run?.worker === crash.worker ? [{ run, settled: name.settled }] : [];
  });
}

function namesOf(runs: CrashedWorkerRun[]): string {
  return runs.map(({ run }) => runKey({ task: run.name, run: run.run })).join();
}
