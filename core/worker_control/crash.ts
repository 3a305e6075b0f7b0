/**
 * Records what may have been at work on a worker when it crashed.
 *
 * @module
 */

import type { Milliseconds } from "@dragonflyledge/model";
import { runKey, SETTLE_TIME } from "@dragonflyledge/scheduler";
import type {
  CrashedRun,
  RunName,
  WorkerCrash,
  WorkerSilence,
} from "@dragonflyledge/scheduler";
import { log } from "./log.ts";
import { ControlPhase, HOLD_WAIT } from "./state.ts";
import type {
  ControlledWorker,
  ControlState,
  RecordedCrash,
  RunControl,
  Silence,
} from "./state.ts";

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
  now: Milliseconds,
): void {
  const { key, draining } = worker.state;
  if (draining || worker.leftAt !== undefined) return;
  if (state.crashes.some((crash) => crash.worker === key)) return;
  const silence = state.hold.silence ??
    { aliveAt: worker.answeredAt, failedAt: now };
  const runs = listExposedRuns(state, worker, silence);
  state.crashes.push({ worker: key, runs, silence });
  state.crashes.splice(0, state.crashes.length - KEPT_CRASHES);
  log(state, "Worker crashed.", {
    worker: key,
    settled: namesOf(runs.filter((run) => run.workedFor >= SETTLE_TIME)),
    begun: namesOf(runs.filter((run) => run.workedFor < SETTLE_TIME)),
  });
}

/** Converts a recorded crash for a report that is sent now. */
export function tellCrash(
  { worker, runs, silence }: RecordedCrash,
  now: Milliseconds,
): WorkerCrash {
  return { worker, runs, silence: tellSilence(silence, now) };
}

/** Converts the times of a silence for a report that is sent now. */
export function tellSilence(
  { aliveAt, failedAt }: Silence,
  now: Milliseconds,
): WorkerSilence {
  return { aliveAgo: now - aliveAt, failedAgo: now - failedAt };
}

/** Runs that the worker listed last, and those that may have begun since. */
function listExposedRuns(
  state: ControlState,
  worker: ControlledWorker,
  silence: Silence,
): CrashedRun[] {
  const expose = ({ task, run }: RunName): CrashedRun => ({
    task,
    run,
    workedFor: workedFor(state, worker, { task, run }, silence.aliveAt),
  });
  const known = new Set([...worker.running, ...worker.ended].map(runKey));
  const begun = [...state.runs.values()]
    .filter((control) =>
      mayHaveBegun(control, worker, silence) && !known.has(runKey(control.name))
    )
    .map(({ name }) => name);
  return [...worker.running, ...begun].map(expose);
}

/** Runs that the worker lists and that have not been there for SETTLE_TIME. */
export function listUnsettled(
  state: ControlState,
  worker: ControlledWorker,
): RunName[] {
  return worker.running
    .filter((run) =>
      workedFor(state, worker, run, worker.answeredAt) < SETTLE_TIME
    )
    .map(({ task, run }) => ({ task, run }));
}

/** Time from the first answer that shows the run on the worker until `end`. */
function workedFor(
  state: ControlState,
  worker: ControlledWorker,
  run: RunName,
  end: Milliseconds,
): Milliseconds {
  const key = runKey(run);
  const listedAt = worker.listedAt.get(key) ?? end;
  const startedAt = state.runs.get(key)?.startedAt ?? end;
  return Math.max(0, end - Math.min(listedAt, startedAt));
}

/**
 * Whether the worker accepted the start, or may have carried out a call for it.
 * A worker that had been silent before the call was gone already.
 */
function mayHaveBegun(
  { phase, startSentAt, startedAt }: RunControl,
  worker: ControlledWorker,
  silence: Silence,
): boolean {
  if (phase === ControlPhase.Started) return true;
  // Lists that show the effect of the stop have not come yet.
  if (phase === ControlPhase.Stopped) return startedAt !== undefined;
  return phase === ControlPhase.Starting && startSentAt !== undefined &&
    startSentAt <= silence.failedAt &&
    startSentAt - worker.answeredAt <= HOLD_WAIT + ANSWER_DELAY;
}

function namesOf(runs: CrashedRun[]): string {
  return runs.map(runKey).join();
}
