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
import { parseTask } from "../job.ts";
import type { AgentReport, WorkerCrash, WorkerSilence } from "../messages.ts";
import type { Agent, Outage, Run, SchedulerState } from "../state.ts";
import { RunStage, stageOf } from "../place/suspects.ts";

/** Workers that end within this time of each other have ended at once. */
const SAME_MOMENT: Milliseconds = 100;
/** A worker that crashed by itself may do so again for this long. */
const UNSTABLE_TIME: Milliseconds = 10 * MINUTE;

/** Keeps what the report tells of outages beside the agent. */
export function noteOutages(
  agent: Agent,
  report: AgentReport,
  now: Milliseconds,
): void {
  agent.outages = (report.crashes ?? []).flatMap((crash) =>
    crash.silence
      ? [{
        worker: crash.worker,
        ...spanOf(crash.silence, now),
        begun: hasBegun(crash),
        idle: crash.runs.length === 0,
        tasks: crash.runs.map(({ task }) => task),
      }]
      : []
  );
  const { worker, silence } = report;
  if (!worker || !silence) return;
  const runs = [...agent.worker?.runs ?? []];
  agent.outages.push({
    worker: worker.key,
    ...spanOf(silence, now),
    begun: runs.some((run) => !run.settled),
    idle: runs.length === 0 && agent.worker?.listed === true &&
      agent.worker.state.key === worker.key,
    tasks: runs.map(({ name }) => name),
  });
}

/** What may have caused a crash beside the runs on the worker. */
export const OtherCause = {
  /** An idle worker ended at the same moment, which no task can cause. */
  Outside: "an idle worker ended at the same moment",
  /**
   * A worker with tasks ended at the same moment. Each of the tasks may have
   * crashed its own worker.
   */
  Shared: "another worker ended at the same moment",
  /** The worker, or one before it, crashed before while nothing had begun. */
  Unstable: "the worker crashed by itself before",
} as const;
export type OtherCause = typeof OtherCause[keyof typeof OtherCause];

/**
 * Returns what may have caused the crash beside a run that was on the worker,
 * and undefined if nothing is known.
 */
export function findOtherCause(fields: {
  state: SchedulerState;
  agent: Agent;
  /** One of the crashes of the report. */
  crash: WorkerCrash;
  report: AgentReport;
  run: Run;
}): OtherCause | undefined {
  const { agent, crash, report, run } = fields;
  const own = agent.outages.find(({ worker }) => worker === crash.worker);
  const atOnce = own === undefined ? [] : listOutagesAtOnce(fields, own);
  if (atOnce.some(({ idle }) => idle)) return OtherCause.Outside;
  const isShared = atOnce
    .some((outage) => !outage.begun && !holdsGangOf(outage, run));
  if (isShared) return OtherCause.Shared;
  const job = run.job.request.id;
  return isUnstable(report, crash, job) ? OtherCause.Unstable : undefined;
}

/** Outages of other agents' workers at the same moment. */
function listOutagesAtOnce(
  { state, agent }: { state: SchedulerState; agent: Agent },
  own: Outage,
): Outage[] {
  const others = [...state.agents.values()].filter((each) => each !== agent);
  return others
    .flatMap(({ outages }) => outages)
    .filter((outage) => isAtOnce(outage, own));
}

/** Whether a member of the run's gang was on the worker. */
function holdsGangOf({ tasks }: Outage, run: Run): boolean {
  if (!run.step.gang) return false;
  const { job, occurrence, step } = run.task;
  return tasks.some((task) => {
    const name = parseTask(task);
    return name?.job === job && name.occurrence === occurrence &&
      name.step === step;
  });
}

/**
 * Whether a worker of the agent crashed before while no run had just begun, and
 * none of the job was there.
 */
function isUnstable(
  report: AgentReport,
  crash: WorkerCrash,
  job: string,
): boolean {
  const crashes = report.crashes ?? [];
  return crashes.slice(0, crashes.indexOf(crash)).some((earlier) =>
    !hasBegun(earlier) && !hasRunOf(earlier, job) &&
    (earlier.silence?.failedAgo ?? Infinity) < UNSTABLE_TIME
  );
}

function isAtOnce(a: Outage, b: Outage): boolean {
  return a.from - SAME_MOMENT <= b.to && b.from - SAME_MOMENT <= a.to;
}

function spanOf(
  { aliveAgo, failedAgo }: WorkerSilence,
  now: Milliseconds,
): Pick<Outage, "from" | "to"> {
  return { from: now - aliveAgo, to: now - failedAgo };
}

function hasBegun({ runs }: WorkerCrash): boolean {
  return runs.some(({ workedFor }) => stageOf(workedFor) === RunStage.Begun);
}

function hasRunOf({ runs }: WorkerCrash, job: string): boolean {
  return runs.some(({ task }) => parseTask(task)?.job === job);
}
