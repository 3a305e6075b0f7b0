/**
 * Applies the crashes of workers that agents report, and decides for which
 * tasks they count.
 *
 * @module
 */

import { HOUR } from "@dragonflyledge/model";
import type { Milliseconds } from "@dragonflyledge/model";
import { countCrash, excuseCrash, replaceCounts } from "./crash_counts.ts";
import type { CountedCrash, CrashFields } from "./crash_counts.ts";
import { loseRun } from "./endings.ts";
import { createCrashCounts, isFinal } from "../job.ts";
import type { CrashCounts } from "../job.ts";
import { runKey } from "../messages.ts";
import type { AgentReport, WorkerCrash } from "../messages.ts";
import { findOtherCause, OtherCause } from "./outages.ts";
import { findTask } from "../runs.ts";
import { Excuse } from "../effects.ts";
import type { Agent, Outage, Run } from "../state.ts";
import {
  isProvenCause,
  isSameWork,
  isSuspect,
  RunStage,
  stageOf,
} from "../place/suspects.ts";
import { noteCompanions } from "./crash_companions.ts";

/**
 * A run that worked for this long is no longer one that crashes the workers that
 * start it, so that all crashes before are forgotten.
 */
const FORGIVENESS_TIME: Milliseconds = HOUR;

/** Excuses by the other cause of a crash. */
const EXCUSES: Record<OtherCause, Excuse> = {
  [OtherCause.Outside]: Excuse.Outside,
  [OtherCause.Shared]: Excuse.Shared,
  [OtherCause.Unstable]: Excuse.Unstable,
};

/** A run that was on a worker when it crashed. */
interface CrashedWorkerRun {
  run: Run;
  workedFor: Milliseconds;
  stage: RunStage;
}

/** Runs that were on a worker when it crashed. */
interface RunsByStage {
  begun: CrashedWorkerRun[];
  settled: CrashedWorkerRun[];
  proven: CrashedWorkerRun[];
}

const UNEXPLAINED: CountedCrash = { kind: "late", sole: false };
const UNTOLD: CountedCrash = { kind: "untold", sole: false };

/** A crash, and the report that tells of it. */
interface CrashNotice extends CrashFields {
  agent: Agent;
  report: AgentReport;
  crash: WorkerCrash;
}

/**
 * Counts a crash for each task that may be its cause, and loses all runs that
 * were on the worker. A crash whose runs are no longer known has been applied
 * before.
 */
export function applyCrash(notice: CrashNotice): void {
  const { state } = notice;
  const present = findRuns(notice);
  if (present.length === 0) return;
  const stages = groupByStage(present);
  showCrash(notice, stages);
  weighCrash(notice, stages);
  const causes = likelyCauses(stages)
    .filter(({ run }) => !isFinal(run.job.progress.status));
  noteCompanions(causes.map(runOf), present.map(runOf));
  for (const { run, workedFor } of present) {
    noteWork(run, workedFor);
    loseRun(state, run, "worker crashed");
  }
}

function groupByStage(present: CrashedWorkerRun[]): RunsByStage {
  const inStage = (stage: RunStage) =>
    present.filter((each) => each.stage === stage);
  return {
    begun: inStage(RunStage.Begun),
    settled: inStage(RunStage.Settled),
    proven: inStage(RunStage.Proven),
  };
}

function likelyCauses({ begun, settled }: RunsByStage): CrashedWorkerRun[] {
  return begun.length > 0 ? begun : settled;
}

/** Logs and counts the crash. */
function showCrash(notice: CrashNotice, stages: RunsByStage): void {
  const { state, crash } = notice;
  const { begun, settled, proven } = stages;
  const [first] = [...likelyCauses(stages), ...proven];
  const otherCause = first && findOtherCause({ ...notice, run: first.run });
  state.effects.push({ kind: "workerCrashed", begun: begun.length });
  state.effects.push({
    kind: "log",
    level: "warn",
    text: "Runs were on a worker that crashed.",
    fields: {
      worker: crash.worker,
      begun: namesOf(begun),
      settled: namesOf(settled),
      proven: namesOf(proven),
      otherCause: otherCause ?? "",
    },
  });
}

/** Counts the crash for each task, those that began last first. */
function weighCrash(
  notice: CrashNotice,
  { begun, settled, proven }: RunsByStage,
): void {
  for (const each of begun) countEarlyCrash(notice, each, isOneUnit(begun));
  const afterBegun = excuseBeside(begun);
  for (const each of settled) {
    if (afterBegun) excuseCrash(notice, each.run, afterBegun);
    else countLateCrash(notice, each, isOneUnit(settled));
  }
  const beside = afterBegun ?? excuseBeside(settled);
  for (const each of proven) {
    weighLongWork(notice, each, {
      excuse: beside ?? findLongWorkExcuse(notice, each),
      alone: isOneUnit(proven),
    });
  }
}

function runOf({ run }: CrashedWorkerRun): Run {
  return run;
}

/** Excuse of runs beside likelier causes of the crash, if there are any. */
function excuseBeside(likelier: CrashedWorkerRun[]): Excuse | undefined {
  if (likelier.length === 0) return undefined;
  const isProven = likelier.some(({ run }) => {
    const crashes = findTask(run.job, run.task)?.crashes;
    return crashes !== undefined && isProvenCause(crashes);
  });
  return isProven ? Excuse.GivenUp : Excuse.OthersBegan;
}

/** Whether the runs are one task or one gang. */
function isOneUnit(runs: CrashedWorkerRun[]): boolean {
  return new Set(runs.map(({ run }) => unitKey(run))).size === 1;
}

/** Excuse of a run that had worked for long, if another cause is likely. */
function findLongWorkExcuse(
  notice: CrashNotice,
  { run }: CrashedWorkerRun,
): Excuse | undefined {
  const otherCause = findOtherCause({ ...notice, run });
  return otherCause && EXCUSES[otherCause];
}

/**
 * Weighs a crash under a run that had worked for long. It clears the task of
 * the crashes before it, but for their total, unless the task crashed its worker
 * at the same point of its work before. A task that runs without end is not
 * suspected, since it may meet workers that are restarted regularly. `excuse` if
 * another cause is likely, `alone` if no other task had worked for long.
 */
function weighLongWork(
  notice: CrashNotice,
  { run, workedFor }: CrashedWorkerRun,
  { excuse, alone }: { excuse: Excuse | undefined; alone: boolean },
): void {
  const task = findTask(run.job, run.task);
  if (!task) return;
  const suspected = excuse === undefined && !run.step.longRunning;
  const isSame = isSameWork(task.crashes.workedFor, workedFor);
  if (suspected && isSame) {
    return countCrash(notice, run, { kind: "late", sole: alone });
  }
  const isForgiven = workedFor >= FORGIVENESS_TIME &&
    (run.step.longRunning || !isSame);
  const { total, explained, longestWork } = task.crashes;
  const weighed: CrashCounts = {
    ...createCrashCounts(),
    late: suspected ? 1 : 0,
    workedFor,
    total: isForgiven ? 0 : total,
    explained: isForgiven ? 0 : explained,
    longestWork: isForgiven ? 0 : longestWork,
  };
  replaceCounts(notice.state, run, weighed);
  excuseCrash(notice, run, excuse ?? Excuse.LongWork);
}

/** Keeps for how long the run's task had worked at the crash. */
function noteWork(run: Run, workedFor: Milliseconds): void {
  const crashes = findTask(run.job, run.task)?.crashes;
  if (!crashes) return;
  crashes.longestWork = Math.max(crashes.longestWork, workedFor);
}

/** Counts the crash for a run that had just begun; `alone` if no other had. */
function countEarlyCrash(
  notice: CrashNotice,
  { run }: CrashedWorkerRun,
  alone: boolean,
): void {
  const otherCause = findOtherCause({ ...notice, run });
  const sole = alone && otherCause === undefined;
  countCrash(notice, run, { kind: "early", sole });
}

/** Counts the crash for a run that had settled; `alone` if no other had. */
function countLateCrash(
  notice: CrashNotice,
  { run }: CrashedWorkerRun,
  alone: boolean,
): void {
  const otherCause = findOtherCause({ ...notice, run });
  if (otherCause === OtherCause.Outside || otherCause === OtherCause.Shared) {
    return excuseCrash(notice, run, EXCUSES[otherCause]);
  }
  const sole = alone && otherCause === undefined;
  countCrash(notice, run, { kind: "late", sole });
}

/**
 * Counts the loss of a run whose worker, agent or machine is gone for a reason
 * that nobody knows. Unless its task is suspected already, it counts only if
 * the worker was `replaced` while the run may have just begun.
 */
export function noteUnexplainedLoss(
  fields: CrashFields,
  run: Run,
  replaced: boolean,
): void {
  const task = findTask(run.job, run.task);
  if (!task) return;
  // The start of this run was never ordered.
  if (run.job.storedVersion < run.version) return;
  // The worker left as planned.
  if (fields.state.workers.get(run.worker)?.state.draining) return;
  if (isSuspect(task.crashes)) countCrash(fields, run, UNEXPLAINED);
  else if (replaced && !run.settled) countCrash(fields, run, UNTOLD);
}

function findRuns({ state, agent, crash }: CrashNotice): CrashedWorkerRun[] {
  const outage = agent.outages.find(({ worker }) => worker === crash.worker);
  return crash.runs.flatMap((name) => {
    const run = state.runs.get(runKey(name));
    if (run?.worker !== crash.worker) return [];
    const workedFor = Math.min(name.workedFor, workedTogether(run, outage));
    return [{ run, workedFor, stage: stageOf(workedFor) }];
  });
}

/** Longest time for which the run can have worked, since gangs work together. */
function workedTogether(run: Run, outage: Outage | undefined): Milliseconds {
  if (!run.step.gang || !outage) return Infinity;
  if (run.assembledAt === undefined) return 0;
  return Math.max(0, outage.from - run.assembledAt);
}

/** Names what starts together: the gang of the run, or the run alone. */
function unitKey(run: Run): string {
  const { job, occurrence, step } = run.task;
  return run.step.gang ? `${job}.${occurrence}.${step}` : run.name;
}

function namesOf(runs: CrashedWorkerRun[]): string {
  return runs.map(({ run }) => runKey({ task: run.name, run: run.run })).join();
}
