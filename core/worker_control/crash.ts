/**
 * Records what may have been at work on a worker when it crashed.
 *
 * @module
 */

import type { Milliseconds } from "@dragonflyledge/model";
import { runKey, SETTLE_TIME } from "@dragonflyledge/scheduler";
import type { CrashedRun, RunName } from "@dragonflyledge/scheduler";
import { log } from "./log.ts";
import { ControlPhase, HOLD_WAIT } from "./state.ts";
import type { ControlledWorker, ControlState, RunControl } from "./state.ts";

/** A worker that answers does so this long after the wait of a hold call. */
const ANSWER_DELAY: Milliseconds = 200;
/** Number of crashes that are kept and reported. */
const KEPT_CRASHES = 3;

/**
 * Records that the worker incarnation ended. One that drained or announced its
 * shutdown did not crash.
 */
export function recordCrash(
  state: ControlState,
  worker: ControlledWorker,
): void {
  const { key, draining } = worker.state;
  if (draining || worker.leftAt !== undefined) return;
  if (state.crashes.some((crash) => crash.worker === key)) return;
  const runs = listExposedRuns(state, worker);
  state.crashes.push({ worker: key, runs });
  state.crashes.splice(0, state.crashes.length - KEPT_CRASHES);
  log(state, "Worker crashed.", {
    worker: key,
    settled: namesOf(runs.filter((run) => run.workedFor >= SETTLE_TIME)),
    begun: namesOf(runs.filter((run) => run.workedFor < SETTLE_TIME)),
  });
}

/** Runs that the worker listed last, and those that may have begun since. */
function listExposedRuns(
  state: ControlState,
  worker: ControlledWorker,
): CrashedRun[] {
  const listed = worker.running.map(({ task, run }) => ({
    task,
    run,
    workedFor: workedFor(worker, { task, run }),
  }));
  const known = new Set([...worker.running, ...worker.ended].map(runKey));
  const begun = [...state.runs.values()]
    .filter((control) =>
      mayHaveBegun(control, worker) && !known.has(runKey(control.name))
    )
    .map(({ name }) => ({ ...name, workedFor: 0 }));
  return [...listed, ...begun];
}

/** Runs that the worker lists and has not listed for SETTLE_TIME yet. */
export function listUnsettled(worker: ControlledWorker): RunName[] {
  return worker.running
    .filter((each) => workedFor(worker, each) < SETTLE_TIME)
    .map(({ task, run }) => ({ task, run }));
}

/** Time from the first list with the run to the worker's last answer. */
function workedFor(worker: ControlledWorker, run: RunName): Milliseconds {
  return worker.answeredAt - worker.listedAt.get(runKey(run))!;
}

/**
 * Whether the worker accepted the start, or may have carried out a call for it.
 * A worker that had been silent before the call was gone already.
 */
function mayHaveBegun(
  { phase, startSentAt }: RunControl,
  worker: ControlledWorker,
): boolean {
  if (phase === ControlPhase.Started) return true;
  return phase === ControlPhase.Starting && startSentAt !== undefined &&
    startSentAt - worker.answeredAt <= HOLD_WAIT + ANSWER_DELAY;
}

function namesOf(runs: CrashedRun[]): string {
  return runs.map(runKey).join();
}
