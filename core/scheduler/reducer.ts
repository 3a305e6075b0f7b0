/**
 * Reducer of the scheduler: applies events and returns effects.
 *
 * @module
 */

import { SECOND } from "@dragonflyledge/model";
import type { Milliseconds } from "@dragonflyledge/model";
import { acceleratorsOf } from "./wait/guarantees.ts";
import { createProgress, isFinal, JobStatus, TaskPhase } from "./job.ts";
import type { JobProgress, JobRequest } from "./job.ts";
import { checkAgent } from "./end/agent_loss.ts";
import { noteEvacuations } from "./order/evacuated_domains.ts";
import { createOrders } from "./order/orders.ts";
import { plan } from "./place/plan.ts";
import {
  createDueOccurrences,
  finishJob,
  markChanged,
} from "./record/progress.ts";
import {
  advanceAcknowledged,
  applyReport,
  noteDisconnected,
} from "./end/reports.ts";
import { addRun, stopRun } from "./runs.ts";
import { noteUnconfirmedStarts } from "./wait/waits.ts";
import { createInterference } from "./interference/interference.ts";
import { refreshInterference } from "./interference/observe.ts";
import { createRateNotices, noteRates } from "./rates/rate_notices.ts";
import { createWorkerRates } from "./rates/worker_rates.ts";
import type { WorkerRates } from "./rates/rate_estimator.ts";
import {
  beginSurvey,
  createSurvey,
  isSurveyComplete,
  noteReport,
} from "./wait/survey.ts";
import { AgentLoss } from "./state.ts";
import type { SchedulerEffect } from "./effects.ts";
import type {
  Job,
  Policies,
  SchedulerEvent,
  SchedulerState,
  SchedulerTimes,
} from "./state.ts";

/** Interval at which the checkpoints of running tasks are stored. */
const CHECKPOINT_INTERVAL: Milliseconds = 2 * SECOND;

/** Same interval for the knowledge which jobs have begun. */
const BEGUN_INTERVAL: Milliseconds = SECOND;

/** Decides on all jobs while this process is the leader. */
export interface Scheduler {
  /** Applies an event and returns what is to be done. */
  reduce(event: SchedulerEvent): SchedulerEffect[];
  /** Version and progress of a job, for the store; undefined if unknown. */
  snapshot(job: string): { version: number; progress: JobProgress } | undefined;
  readonly state: SchedulerState;
}

/**
 * Creates a scheduler without jobs, agents and policies. With `takesOver`, it
 * gets those of an earlier leader up to the event `loaded`, and then waits for
 * the fleet's reports before it stops runs.
 */
export function createScheduler(
  fields: {
    times: SchedulerTimes;
    takesOver?: boolean;
    /** Rates of the workers; unknown ones by default. */
    rates?: WorkerRates;
  },
): Scheduler {
  const rates = createWorkerRates();
  const state: SchedulerState = {
    times: fields.times,
    policies: {
      queues: new Map(),
      guarantees: new Map(),
      evacuated: new Set(),
    },
    jobs: new Map(),
    active: new Set(),
    agents: new Map(),
    workers: new Map(),
    runs: new Map(),
    unsavedBegun: new Set(),
    begunSavedAt: 0,
    unsavedJobs: new Set(),
    checkpointsSavedAt: 0,
    rates: fields.rates ?? rates,
    rateEstimator: rates,
    rateNotices: createRateNotices(),
    interference: createInterference(),
    survey: fields.takesOver ? createSurvey() : undefined,
    planDue: false,
    plannedAt: -Infinity,
    planRequested: false,
    fences: new Map(),
    changedAgents: new Set(),
    changedJobs: new Set(),
    effects: [],
  };

  function reduce(event: SchedulerEvent): SchedulerEffect[] {
    state.effects = [];
    if ("date" in event) state.dateOffset = event.date - event.now;
    // Most reports change nothing, so that they alone don't start planning.
    state.planDue = event.kind !== "report" && event.kind !== "stored";
    applyEvent(state, event);
    // Most of the fleet's first reports arrive together. One round of planning
    // at the next tick serves them all.
    if (state.survey) state.planDue = event.kind === "tick";
    if (state.planDue) planInTurn(state, event);
    return collectEffects(state);
  }

  return {
    reduce,
    snapshot: (id) => {
      const job = state.jobs.get(id);
      return job && { version: job.version, progress: job.progress };
    },
    state,
  };
}

function applyEvent(state: SchedulerState, event: SchedulerEvent): void {
  switch (event.kind) {
    case "policies":
      return applyPolicies(state, event.policies);
    case "job":
      return addJob(state, event, event.now);
    case "cancel":
      return cancelJob(state, event.job, event.date);
    case "agent":
      state.survey?.awaited.add(event.agent);
      return addAgent(state, event.agent, event.now);
    case "loaded":
      if (state.survey) beginSurvey(state.survey, event.now);
      return;
    case "report": {
      if (state.survey) noteReport(state.survey, event.agent, event.now);
      addAgent(state, event.agent, event.now);
      const agent = state.agents.get(event.agent)!;
      return applyReport({ ...event, state, agent });
    }
    case "disconnected":
      return noteDisconnected(state, event.agent);
    case "stored":
      return confirmStored(state, event.job, event.version);
    case "tick":
      return tick(state, event.now, event.date);
    case "plan":
      state.planRequested = false;
      return;
  }
}

/**
 * Plans now, or asks for a later round if the last one was a moment ago. A
 * round looks at the whole fleet, and dozens of reports arrive together when
 * runs are stopped for an urgent job.
 */
function planInTurn(state: SchedulerState, event: SchedulerEvent): void {
  const { now } = event;
  const dueAt = state.plannedAt + state.times.planningInterval;
  if (now >= dueAt || event.kind === "plan") {
    state.plannedAt = now;
    return plan(state, now);
  }
  if (state.planRequested) return;
  state.planRequested = true;
  state.effects.push({ kind: "planLater", delay: dueAt - now });
}

/** Returns the effects of an event, with the writes and orders now due. */
function collectEffects(state: SchedulerState): SchedulerEffect[] {
  const effects = state.effects;
  for (const job of state.changedJobs) {
    effects.push({ kind: "store", job: job.request.id });
  }
  state.changedJobs.clear();
  for (const name of state.changedAgents) {
    const orders = createOrders(state, name);
    if (orders) effects.push(orders);
  }
  state.changedAgents.clear();
  return effects;
}

function applyPolicies(state: SchedulerState, policies: Policies): void {
  const { evacuated } = state.policies;
  state.policies = policies;
  for (const job of state.active) job.policy = policyOf(state, job.request);
  noteEvacuations(state, evacuated);
}

/** Policy of the job's queue, or that of its acceptance for a removed queue. */
function policyOf(state: SchedulerState, request: JobRequest) {
  return state.policies.queues.get(request.queue) ?? request.policy;
}

function addJob(
  state: SchedulerState,
  event: { request: JobRequest; progress?: JobProgress },
  now: Milliseconds,
): void {
  const { request } = event;
  if (state.jobs.has(request.id)) return;
  const progress = event.progress ?? createProgress();
  const job: Job = {
    request,
    specSize: new TextEncoder().encode(request.spec).length,
    progress,
    policy: policyOf(state, request),
    cancelled: false,
    version: 1,
    storedVersion: event.progress ? 1 : 0,
    runs: new Set(),
    readyAt: new Map(),
    waitNotedAt: new Map(),
    crashCompanions: [],
    outcomes: new Map(),
  };
  state.jobs.set(request.id, job);
  restoreRuns(state, job, now);
  if (isFinal(progress.status)) return;
  state.active.add(job);
  state.effects.push({
    kind: "log",
    level: "info",
    text: "Job taken up.",
    fields: {
      job: request.id,
      team: request.team,
      priority: job.policy.priority,
      accelerators: acceleratorsOf(job),
      status: progress.status,
    },
  });
  createDueOccurrences({ state, job, date: request.acceptedAt });
}

/** Adds the runs in the job's stored progress, since they may still run. */
function restoreRuns(
  state: SchedulerState,
  job: Job,
  now: Milliseconds,
): void {
  const stop = isFinal(job.progress.status);
  for (const occurrence of job.progress.occurrences) {
    occurrence.steps.forEach((tasks, step) =>
      tasks.forEach((task, index) => {
        const ending = task.phase === TaskPhase.Ending;
        if (task.phase !== TaskPhase.Assigned && !ending) return;
        const run = addRun({
          state,
          job,
          task: {
            job: job.request.id,
            occurrence: occurrence.index,
            step,
            index,
          },
          run: task.run,
          agent: task.agent,
          worker: task.worker,
          ordered: true,
          confirmed: false,
          now,
        });
        addAgent(state, task.agent, now);
        if (stop || ending) stopRun(state, run);
      })
    );
  }
}

function cancelJob(
  state: SchedulerState,
  id: string,
  date: Milliseconds,
): void {
  const job = state.jobs.get(id);
  if (!job) return;
  job.cancelled = true;
  finishJob({ state, job, status: JobStatus.Cancelled, date });
}

function addAgent(
  state: SchedulerState,
  name: string,
  now: Milliseconds,
): void {
  if (state.agents.has(name)) return;
  state.agents.set(name, {
    name,
    lastHeard: now,
    leaseEnd: now,
    connected: false,
    loss: AgentLoss.None,
    outages: [],
  });
}

function confirmStored(
  state: SchedulerState,
  id: string,
  version: number,
): void {
  const job = state.jobs.get(id);
  if (!job || job.storedVersion >= version) return;
  const before = job.storedVersion;
  job.storedVersion = version;
  // Only starts wait for the store; other agents have their orders already.
  for (const run of job.runs) {
    const startable = run.version > before && run.version <= version;
    if (startable && !run.confirmed) state.changedAgents.add(run.agent);
  }
  for (const worker of state.workers.values()) {
    advanceAcknowledged(state, worker);
  }
}

function tick(
  state: SchedulerState,
  now: Milliseconds,
  date: Milliseconds,
): void {
  endSurvey(state, now);
  state.rateEstimator.advance(now);
  noteRates(state, now);
  checkAgents(state, now, date);
  noteUnconfirmedStarts(state, now);
  refreshInterference(state, now);
  saveBegun(state, now);
  saveCheckpoints(state, now);
  for (const job of state.active) createDueOccurrences({ state, job, date });
  for (const job of state.jobs.values()) {
    const { status, finishedAt } = job.progress;
    if (!isFinal(status) || job.runs.size > 0) continue;
    if (date - finishedAt < state.times.retention) continue;
    state.jobs.delete(job.request.id);
    state.effects.push({ kind: "remove", job: job.request.id });
  }
}

/** Ends the survey of the fleet once it is complete. */
function endSurvey(state: SchedulerState, now: Milliseconds): void {
  const { survey } = state;
  if (!survey || !isSurveyComplete(survey, now)) return;
  state.survey = undefined;
  state.effects.push({
    kind: "log",
    level: "info",
    text: "Fleet surveyed.",
    fields: {
      workers: state.workers.size,
      silent: survey.awaited.size,
      took: Math.round(now - (survey.begunAt ?? now)),
    },
  });
}

/** Stores at intervals which jobs have begun, for callers of all entries. */
function saveBegun(state: SchedulerState, now: Milliseconds): void {
  if (now - state.begunSavedAt < BEGUN_INTERVAL) return;
  state.begunSavedAt = now;
  for (const job of [...state.unsavedBegun]) markChanged(state, job);
}

/** Stores new checkpoints at intervals, for a new leader to resume from. */
function saveCheckpoints(state: SchedulerState, now: Milliseconds): void {
  if (now - state.checkpointsSavedAt < CHECKPOINT_INTERVAL) return;
  state.checkpointsSavedAt = now;
  for (const job of state.unsavedJobs) {
    if (state.active.has(job)) markChanged(state, job);
  }
  state.unsavedJobs.clear();
}

/** Marks agents without a recent report as lost, and later forgets them. */
function checkAgents(
  state: SchedulerState,
  now: Milliseconds,
  date: Milliseconds,
): void {
  const { agentRetention } = state.times;
  for (const agent of state.agents.values()) {
    checkAgent({ state, agent, now, date });
    if (agent.loss !== AgentLoss.AllRuns) continue;
    if (now - agent.lastHeard < agentRetention) continue;
    state.agents.delete(agent.name);
    state.rateEstimator.forget(agent.name);
    state.effects.push({ kind: "forget", agent: agent.name });
  }
}
