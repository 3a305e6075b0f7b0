/**
 * Applies the reports that agents send about their workers.
 *
 * @module
 */

import type { Milliseconds } from "@dragonflyledge/model";
import { isFinal, parseTask, TaskPhase } from "../job.ts";
import { RunEnding, runKey } from "../messages.ts";
import type {
  AgentReport,
  RefusedStart,
  RunningTask,
  WorkerState,
} from "../messages.ts";
import { withdrawFromDomain } from "../order/evacuated_domains.ts";
import { capacityOf, noteCapacity, withdrawExcess } from "../order/capacity.ts";
import { noteSettled } from "./crash_counts.ts";
import { noteLeaseEnd } from "./agent_loss.ts";
import { applyCrash } from "./crashes.ts";
import { applyEnding, applyLateEnding, loseRun, loseStart } from "./endings.ts";
import {
  createHealth,
  noteRefused,
  noteWorking,
} from "../health/worker_health.ts";
import { noteLeaving } from "../order/evacuate.ts";
import { noteHolder } from "../order/fences.ts";
import { noteProgress } from "../interference/observe.ts";
import { noteBegun } from "../record/progress.ts";
import { loseRuns, LossReason } from "./losses.ts";
import { noteOutages } from "./outages.ts";
import { recoverRate } from "../rates/rate_exchange.ts";
import {
  addRun,
  addToWorker,
  findTask,
  moveRun,
  noteListed,
  stopRun,
} from "../runs.ts";
import { AgentLoss, isApplied } from "../state.ts";
import type { Agent, SchedulerState, Worker } from "../state.ts";

interface ReportFields {
  state: SchedulerState;
  agent: Agent;
  report: AgentReport;
  now: Milliseconds;
  date: Milliseconds;
}

/** Applies an agent's report. */
export function applyReport(fields: ReportFields): void {
  const { state, agent, report, now } = fields;
  agent.lastHeard = now;
  noteLeaseEnd(agent, report, now);
  noteHolder(state, agent.name, report);
  recoverRate(state, agent, report);
  agent.lastReport = report.sentAt;
  // Its worker may take tasks again, and waiting ones can be placed there.
  if (!agent.connected) state.planDue = true;
  agent.connected = true;
  agent.loss = AgentLoss.None;
  // Each report is answered, since the answer extends the agent's grant.
  state.changedAgents.add(agent.name);
  noteOutages(agent, report, now);
  moveListedRuns(state, agent, report);
  const reported = usableWorker(agent, report);
  // Before it has listed its runs, a new incarnation may carry out a start for
  // the former one; a crash of that one would free the run.
  if (reported || !report.worker) {
    for (const crash of report.crashes ?? []) applyCrash({ ...fields, crash });
  }
  for (const key of report.emptied) {
    loseRuns(fields, (run) => run.worker === key, LossReason.Emptied);
  }
  if (!reported) return handleMissingWorker(fields);
  const worker = updateWorker(fields, reported);
  if (worker === undefined) return;
  noteLeaving(worker, now);
  if (report.listed) {
    if (!worker.listed) state.planDue = true;
    worker.listed = true;
    applyEndedTasks(fields, worker);
    applyRunningTasks(fields, worker);
    state.rateEstimator
      .observe({
        worker,
        workers: state.workers,
        clock: report.listClock,
        now,
      });
    noteProgress(state, worker, report, now);
  }
  for (const refused of report.refused) handleRefusal(fields, worker, refused);
  for (const name of report.absent) {
    const run = state.runs.get(runKey(name));
    if (run && run.worker === worker.state.key) {
      loseStart(state, run, "not on the worker");
    }
  }
  // A new leader may meet starts that were ordered before the worker shrank.
  withdrawExcess(state, worker);
  withdrawFromDomain(state, worker);
  advanceAcknowledged(state, worker);
}

/**
 * Returns the reported worker, unless it is an incarnation that has not listed
 * its runs. Such a one may still carry out a start for the former one, whose
 * runs count as ended once it replaces that one.
 */
function usableWorker(
  { worker: known }: Agent,
  { worker, listed, emptied }: AgentReport,
): WorkerState | undefined {
  if (!worker || listed || emptied.includes(worker.key)) return worker;
  return worker.key === known?.state.key ? worker : undefined;
}

/**
 * Moves runs to the worker that lists them. A worker that starts again under its
 * id may carry out a start that was sent to its former incarnation.
 */
function moveListedRuns(
  state: SchedulerState,
  agent: Agent,
  { worker, listed, running, ended }: AgentReport,
): void {
  if (!worker || !listed) return;
  for (const name of [...running, ...ended]) {
    const run = state.runs.get(runKey(name));
    if (run?.agent === agent.name) moveRun(state, run, worker.key);
  }
}

/**
 * Handles a report without a worker. Nothing more is started on the worker
 * known so far; once it can't hold a lease any more, its runs are lost.
 */
function handleMissingWorker(fields: ReportFields): void {
  const { state, agent, report } = fields;
  const known = agent.worker;
  if (known) known.state = { ...known.state, reachable: false };
  if (!report.vacant) return;
  loseRuns(
    fields,
    (run) => run.agent === agent.name,
    LossReason.NoWorker,
  );
  if (known) state.workers.delete(known.state.key);
  agent.worker = undefined;
}

/**
 * Takes back the starts that were not sent before the link to their agent
 * closed; those that were sent may still be carried out.
 */
export function noteDisconnected(state: SchedulerState, name: string): void {
  const agent = state.agents.get(name);
  if (!agent) return;
  agent.connected = false;
  for (const run of [...state.runs.values()]) {
    if (run.agent !== name || run.ordered || run.confirmed) continue;
    loseStart(state, run, "start not sent");
  }
}

/** Acknowledges the worker's ended runs that have been stored since. */
export function advanceAcknowledged(
  state: SchedulerState,
  worker: Worker,
): void {
  while (worker.unstoredEnds.length > 0) {
    const { number, job, version } = worker.unstoredEnds[0]!;
    if (job && job.storedVersion < version) return;
    worker.unstoredEnds.shift();
    worker.acknowledged = number;
    state.changedAgents.add(worker.agent);
  }
}

/**
 * Updates the worker of an agent, or replaces it by a later incarnation.
 * Returns undefined if the reported incarnation is older than the known one.
 */
function updateWorker(
  fields: ReportFields,
  reported: WorkerState,
): Worker | undefined {
  const { state, agent } = fields;
  const known = agent.worker;
  if (known?.state.key === reported.key) {
    const { reachable, draining } = known.state;
    if (reachable !== reported.reachable || draining !== reported.draining) {
      state.planDue = true;
    }
    noteCapacity(state, known, reported);
    known.state = reported;
    return known;
  }
  if (known && known.state.born > reported.born) {
    state.effects.push({
      kind: "log",
      level: "info",
      text: "Report ignored.",
      fields: {
        reason: "incarnation",
        agent: agent.name,
        worker: reported.key,
        known: known.state.key,
      },
    });
    return undefined;
  }
  loseRuns(
    fields,
    (run) => run.agent === agent.name && run.worker !== reported.key,
    LossReason.Replaced,
  );
  if (known) state.workers.delete(known.state.key);
  const worker: Worker = {
    state: reported,
    full: reported.full ?? capacityOf(reported),
    agent: agent.name,
    listed: false,
    used: { millicores: 0, megabytes: 0, accelerators: 0 },
    runs: new Set(),
    checkpointingRuns: 0,
    isolatedRuns: 0,
    stoppingRuns: 0,
    avoidUntil: 0,
    health: createHealth(),
    unstoredEnds: [],
    acknowledged: 0,
    appliedEnd: 0,
  };
  agent.worker = worker;
  state.workers.set(reported.key, worker);
  state.planDue = true;
  for (const run of state.runs.values()) {
    if (run.worker === reported.key) addToWorker(worker, run);
  }
  state.changedAgents.add(agent.name);
  state.effects.push({
    kind: "log",
    level: "info",
    text: "New worker reported.",
    fields: { agent: agent.name, worker: reported.key, rack: reported.rack },
  });
  return worker;
}

/** Applies the ended runs that the report lists and that are new. */
function applyEndedTasks(fields: ReportFields, worker: Worker): void {
  const { state, report, now, date } = fields;
  for (const ended of report.ended) {
    if (isApplied(worker, ended)) continue;
    worker.appliedEnd = ended.number;
    const run = state.runs.get(runKey(ended));
    const matches = run !== undefined && run.worker === worker.state.key;
    if (matches) {
      noteBegun(state, run.job);
      if (ended.ending === RunEnding.Done) {
        state.rateEstimator.observeDone(run, report.listClock, now);
      }
      applyEnding({ state, worker, run, ended, now, date });
    }
    const job = matches ? run.job : applyLateEnding({ state, ended, date });
    worker.unstoredEnds.push({
      number: ended.number,
      job,
      version: job?.version ?? 0,
    });
  }
}

/** Applies the list of running tasks; unlisted confirmed runs are lost. */
function applyRunningTasks(fields: ReportFields, worker: Worker): void {
  const { state, report, now } = fields;
  const listed = new Set<string>();
  const unsettled = new Set(report.unsettled?.map(runKey));
  const open = new Set(report.openStarts?.map(runKey));
  for (const running of report.running) {
    const key = runKey(running);
    listed.add(key);
    const run = state.runs.get(key);
    if (run && run.worker === worker.state.key) {
      noteListed(run, now);
      run.startOpen = open.has(key);
      noteBegun(state, run.job);
      const listedLong = report.unsettled && !unsettled.has(key);
      if (listedLong && !report.silence) noteSettled(state, run, now);
      run.percent = running.percent;
      run.progressAt = now;
      noteWorking(state, worker, run);
      const task = findTask(run.job, run.task);
      const isNew = running.checkpoint !== "" && task?.run === run.run &&
        task.checkpoint !== running.checkpoint;
      if (isNew) {
        task.checkpoint = running.checkpoint;
        state.unsavedJobs.add(run.job);
      }
    } else adoptRun(state, worker, running, now);
  }
  // Some of the runs that are in no list may have ended as done.
  if (report.allEnds === false) return;
  // The lists of one worker arrive in order. A run that was listed before and
  // is in neither list now has ended.
  for (const run of [...worker.runs]) {
    const key = runKey({ task: run.name, run: run.run });
    if (run.confirmed && !listed.has(key)) {
      loseRun(state, run, "no longer listed");
    }
  }
}

/** Adds a run that this process did not know, and stops it if unwanted. */
function adoptRun(
  state: SchedulerState,
  worker: Worker,
  running: RunningTask,
  now: Milliseconds,
): void {
  const task = parseTask(running.task);
  const job = task && state.jobs.get(task.job);
  if (!task || !job || !job.request.steps[task.step]) {
    state.effects.push({
      kind: "log",
      level: "warn",
      text: "Unknown task runs on a worker.",
      fields: { task: running.task, worker: worker.state.key },
    });
    return;
  }
  const run = addRun({
    state,
    job,
    task,
    run: running.run,
    agent: worker.agent,
    worker: worker.state.key,
    ordered: true,
    confirmed: true,
    now,
  });
  run.percent = running.percent;
  noteBegun(state, job);
  const progress = findTask(job, task);
  const wanted = !isFinal(job.progress.status) &&
    progress?.phase === TaskPhase.Assigned && progress.run === running.run;
  if (!wanted) stopRun(state, run);
}

/** Treats the refused run as lost and avoids the worker for a while. */
function handleRefusal(
  fields: ReportFields,
  worker: Worker,
  refused: RefusedStart,
): void {
  const { state, now } = fields;
  const run = state.runs.get(runKey(refused));
  if (!run || run.worker !== worker.state.key || run.confirmed) return;
  noteRefused(worker, now);
  loseStart(state, run, `start refused: ${refused.reason}`);
}
