/**
 * Tells whether the crash of a worker has a likely cause beside the tasks that
 * had just begun on it.
 *
 * Load pattern: a rack loses power or many workers are restarted, and each
 * takes the tasks along that have just begun there; or one worker crashes by
 * itself again and again. Such crashes say little about the tasks.
 *
 * @module
 */

import { MINUTE } from "@dragonflyledge/model";
import type { Milliseconds } from "@dragonflyledge/model";
import { parseTask } from "./job.ts";
import type { AgentReport, WorkerCrash, WorkerSilence } from "./messages.ts";
import type { Agent, Run, SchedulerState } from "./state.ts";
import { RunStage, stageOf } from "./suspects.ts";

/** Workers that end within this time of each other have ended at once. */
const SAME_MOMENT: Milliseconds = 100;
/** A worker that crashed by itself may do so again for this long. */
const UNSTABLE_TIME: Milliseconds = 10 * MINUTE;

/** A span of time in which a worker ended or fell silent. */
export interface Outage {
  worker: string;
  /** When the worker last showed that it lives. */
  from: Milliseconds;
  /** When a call to it first failed. */
  to: Milliseconds;
  /** Jobs of the runs that had just begun on it. */
  begunJobs: Set<string>;
}

/** Keeps what the report tells of outages beside the agent. */
export function noteOutages(
  agent: Agent,
  report: AgentReport,
  now: Milliseconds,
): void {
  agent.outages = (report.crashes ?? []).flatMap((crash) =>
    crash.silence
      ? [createOutage(crash.worker, crash.silence, begunJobs(crash), now)]
      : []
  );
  const { worker, silence } = report;
  if (!worker || !silence) return;
  const unsettled = [...agent.worker?.runs ?? []].filter((run) => !run.settled);
  const jobs = new Set(unsettled.map((run) => run.job.request.id));
  agent.outages.push(createOutage(worker.key, silence, jobs, now));
}

/**
 * Returns what may have caused the crash beside the run that had just begun on
 * the worker, and undefined if nothing is known.
 */
export function findOtherCause(fields: {
  state: SchedulerState;
  agent: Agent;
  /** One of the crashes of the report. */
  crash: WorkerCrash;
  report: AgentReport;
  run: Run;
}): string | undefined {
  const { state, agent, crash, report, run } = fields;
  if (isUnstable(report, crash)) return "the worker crashed by itself before";
  const own = agent.outages.find(({ worker }) => worker === crash.worker);
  if (!own) return undefined;
  for (const other of state.agents.values()) {
    if (other === agent) continue;
    const atOnce = other.outages.find((outage) => isAtOnce(outage, own));
    // Tasks of one job may each crash their worker.
    if (!atOnce || atOnce.begunJobs.has(run.job.request.id)) continue;
    return `${atOnce.worker} ended at the same moment`;
  }
  return undefined;
}

/** Whether a worker of the agent crashed before while no run had just begun. */
function isUnstable(report: AgentReport, crash: WorkerCrash): boolean {
  const crashes = report.crashes ?? [];
  return crashes.slice(0, crashes.indexOf(crash)).some((earlier) =>
    begunJobs(earlier).size === 0 &&
    (earlier.silence?.failedAgo ?? Infinity) < UNSTABLE_TIME
  );
}

function isAtOnce(a: Outage, b: Outage): boolean {
  return a.from - SAME_MOMENT <= b.to && b.from - SAME_MOMENT <= a.to;
}

function createOutage(
  worker: string,
  { aliveAgo, failedAgo }: WorkerSilence,
  begunJobs: Set<string>,
  now: Milliseconds,
): Outage {
  return { worker, from: now - aliveAgo, to: now - failedAgo, begunJobs };
}

function begunJobs({ runs }: WorkerCrash): Set<string> {
  const begun = runs.filter(({ workedFor }) =>
    stageOf(workedFor) === RunStage.Begun
  );
  return new Set(begun.flatMap(({ task }) => parseTask(task)?.job ?? []));
}
