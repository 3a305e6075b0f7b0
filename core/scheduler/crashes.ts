/**
 * Applies the crashes of workers that agents report.
 *
 * @module
 */

import type { Milliseconds } from "@dragonflyledge/model";
import { loseRun } from "./endings.ts";
import {
  createCrashCounts,
  FailureCode,
  isFinal,
  JobStatus,
  TaskPhase,
} from "./job.ts";
import type { CrashCounts } from "./job.ts";
import { runKey } from "./messages.ts";
import type { AgentReport, WorkerCrash } from "./messages.ts";
import { findOtherCause, OtherCause } from "./outages.ts";
import type { Outage } from "./outages.ts";
import { finishJob, markChanged } from "./progress.ts";
import { findTask } from "./runs.ts";
import type { Agent, Run, SchedulerState } from "./state.ts";
import {
  countOf,
  isGivenUp,
  isSameWork,
  isSuspect,
  RunStage,
  SETTLE_TIME,
  stageOf,
} from "./suspects.ts";

/** Longest time between two answers of a worker that is not silent. */
const ANSWER_INTERVAL: Milliseconds = 1200;

/** A run that was on a worker when it crashed. */
interface CrashedWorkerRun {
  run: Run;
  workedFor: Milliseconds;
  stage: RunStage;
}

interface CrashFields {
  state: SchedulerState;
  date: Milliseconds;
}

/** How a crash counts for a task. */
interface CountedCrash {
  kind: "early" | "late" | "untold";
  /** Whether no other cause is likely. */
  sole: boolean;
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
  const { state, crash } = notice;
  const present = findRuns(notice);
  if (present.length === 0) return;
  const inStage = (stage: RunStage) =>
    present.filter((each) => each.stage === stage);
  const begun = inStage(RunStage.Begun);
  const settled = inStage(RunStage.Settled);
  const proven = inStage(RunStage.Proven);
  const likely = begun.length > 0 ? begun : settled;
  const [first] = [...likely, ...proven];
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
  for (const each of likely) countLikelyCause(notice, each, isOneUnit(likely));
  for (const each of proven) {
    const possible = likely.length === 0 && otherCause === undefined;
    weighLongWork(notice, each, { possible, alone: isOneUnit(proven) });
  }
  for (const { run } of present) loseRun(state, run, "worker crashed");
}

/** Whether the runs are one task or one gang. */
function isOneUnit(runs: CrashedWorkerRun[]): boolean {
  return new Set(runs.map(({ run }) => unitKey(run))).size === 1;
}

/**
 * Weighs a crash under a run that had worked for long. It clears the task of
 * all crashes before it, unless the task crashed its worker at the same point
 * of its work before. A task that runs without end is never the cause, since it
 * may meet workers that are restarted regularly.
 */
function weighLongWork(
  notice: CrashNotice,
  { run, workedFor }: CrashedWorkerRun,
  /** Whether no other cause is likely, and whether the run was the only one. */
  { possible, alone }: { possible: boolean; alone: boolean },
): void {
  const task = findTask(run.job, run.task);
  if (!task) return;
  const counts = possible && !run.step.longRunning;
  if (counts && isSameWork(task.crashes.workedFor, workedFor)) {
    return countCrash(notice, run, { kind: "late", sole: alone });
  }
  const late = counts ? 1 : 0;
  const weighed = { ...createCrashCounts(), late, workedFor };
  replaceCounts(notice.state, run, weighed);
}

/** Counts the crash for a task; `alone` if no other one is as likely. */
function countLikelyCause(
  notice: CrashNotice,
  { run, stage }: CrashedWorkerRun,
  alone: boolean,
): void {
  const otherCause = findOtherCause({ ...notice, run });
  const early = stage === RunStage.Begun;
  if (!early && otherCause === OtherCause.Shared) return;
  const sole = alone && otherCause === undefined;
  countCrash(notice, run, { kind: early ? "early" : "late", sole });
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

/**
 * Notes that a worker which still answers has listed the run for SETTLE_TIME.
 * Once it has settled, the task's early crashes are cleared: a task that
 * crashes each worker that starts it never does, so that another task or the
 * worker was the cause.
 */
export function noteSettled(
  state: SchedulerState,
  run: Run,
  now: Milliseconds,
): void {
  if (run.settled || !hasAssembled(run, now)) return;
  run.settled = true;
  const task = findTask(run.job, run.task);
  if (!task || task.run !== run.run) return;
  const cleared = { early: 0, soleEarly: 0, untold: 0 };
  replaceCounts(state, run, { ...task.crashes, ...cleared });
}

/**
 * Whether a gang has been at work for SETTLE_TIME at the latest answer of each
 * of its workers; true for a run that works alone.
 */
function hasAssembled({ step, assembledAt }: Run, now: Milliseconds): boolean {
  if (!step.gang) return true;
  return assembledAt !== undefined &&
    now - assembledAt >= SETTLE_TIME + ANSWER_INTERVAL;
}

/** Replaces the task's counts after it was cleared of earlier crashes. */
function replaceCounts(
  state: SchedulerState,
  run: Run,
  counts: CrashCounts,
): void {
  const task = findTask(run.job, run.task);
  if (!task || isFinal(run.job.progress.status)) return;
  const before = task.crashes;
  task.crashes = counts;
  if (countOf(before) <= countOf(counts)) return;
  const wasSuspect = isSuspect(before);
  markChanged(state, run.job);
  if (wasSuspect && !isSuspect(counts)) {
    state.effects.push({ kind: "suspicion", change: "cleared" });
  }
  state.effects.push({
    kind: "log",
    level: "info",
    text: "A task is not the cause of earlier crashes.",
    fields: {
      job: run.job.request.id,
      task: run.name,
      run: run.run,
      crashes: countOf(counts),
      suspect: isSuspect(counts),
      wasSuspect,
    },
  });
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

/** Counts a crash for the run's task, and gives the job up at the limit. */
function countCrash(
  fields: CrashFields,
  run: Run,
  { kind, sole }: CountedCrash,
): void {
  const { state, date } = fields;
  const { job } = run;
  const task = findTask(job, run.task);
  if (!task || task.run !== run.run || task.phase === TaskPhase.Done) return;
  if (isFinal(job.progress.status)) return;
  const { crashes } = task;
  const wasSuspect = isSuspect(crashes);
  crashes[kind]++;
  if (sole) crashes[kind === "early" ? "soleEarly" : "soleLate"]++;
  markChanged(state, job);
  if (!wasSuspect && isSuspect(crashes)) {
    state.effects.push({ kind: "suspicion", change: "raised" });
  }
  state.effects.push({
    kind: "log",
    level: "warn",
    text: "A worker crashed under a task.",
    fields: {
      job: job.request.id,
      task: run.name,
      run: run.run,
      agent: run.agent,
      ...crashes,
      suspect: isSuspect(crashes),
    },
  });
  if (!isGivenUp(crashes)) return;
  const failure = {
    code: FailureCode.WorkerCrashes,
    task: run.name,
    count: countOf(crashes),
  };
  finishJob({ state, job, status: JobStatus.Failed, failure, date });
}

/** Names what starts together: the gang of the run, or the run alone. */
function unitKey(run: Run): string {
  const { job, occurrence, step } = run.task;
  return run.step.gang ? `${job}.${occurrence}.${step}` : run.name;
}

function namesOf(runs: CrashedWorkerRun[]): string {
  return runs.map(({ run }) => runKey({ task: run.name, run: run.run })).join();
}
