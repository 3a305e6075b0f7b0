/**
 * Logs urgent tasks that wait, and starts that no worker has confirmed.
 *
 * @module
 */

import { SECOND } from "@dragonflyledge/model";
import type { Milliseconds } from "@dragonflyledge/model";
import { isAdmitted } from "../health/admission.ts";
import { isAvoided } from "../health/pace.ts";
import { isUsable } from "../place/fit.ts";
import type { GuaranteeCover } from "./guarantees.ts";
import { stepKey } from "../state.ts";
import type { Run, SchedulerState, Worker } from "../state.ts";
import type { Unit } from "./units.ts";

/** Waits are logged after this long, and again at this interval. */
const NOTICE_INTERVAL: Milliseconds = SECOND;

/** Accelerators of the workers of one service by what they are used for. */
interface Usage {
  free: number;
  /** That workers had before and do not announce now. */
  missing: number;
  /** On workers that drain or do not answer. */
  unavailable: number;
  /** On workers that failed or refused a run a moment ago. */
  avoided: number;
  /** Of runs that are stopping. */
  stopping: number;
  /** Of runs of lower priority that may be stopped. */
  lower: number;
  /** Of long-running tasks, which are not stopped. */
  longRunning: number;
  /** Of urgent jobs that their team's guarantee covers. */
  urgentCovered: number;
  /** Of other urgent jobs. */
  urgentBeyond: number;
}

/** Logs an urgent unit that did not start, with what holds the capacity. */
export function noteUrgentWait(fields: {
  state: SchedulerState;
  unit: Unit;
  cover: GuaranteeCover;
  /** Runs that must end before the unit starts; 0 if there is no place. */
  victims: number;
  now: Milliseconds;
}): void {
  const { state, unit, cover, now } = fields;
  const { job, step } = unit;
  const key = stepKey({
    occurrence: unit.occurrence.index,
    step: unit.stepIndex,
  });
  const notedAt = job.waitNotedAt.get(key) ?? unit.readyAt;
  if (now - notedAt < NOTICE_INTERVAL) return;
  job.waitNotedAt.set(key, now);
  const { team } = job.request;
  state.effects.push({
    kind: "log",
    level: "warn",
    text: "Urgent tasks wait.",
    fields: {
      job: job.request.id,
      step: unit.stepIndex,
      team,
      guaranteed: unit.guaranteed,
      waited: Math.round(now - unit.readyAt),
      tasks: unit.tasks.length,
      accelerators: step.accelerators,
      oneRack: step.gang && step.sameRack,
      victims: fields.victims,
      teamNeed: cover.teamNeed(team),
      guarantee: state.policies.guarantees.get(team) ?? 0,
      ...measureUsage(state, unit, cover, now),
    },
  });
}

/** Sums up what the accelerators of the unit's service are used for. */
function measureUsage(
  state: SchedulerState,
  unit: Unit,
  cover: GuaranteeCover,
  now: Milliseconds,
): Usage {
  const usage: Usage = {
    free: 0,
    missing: 0,
    unavailable: 0,
    avoided: 0,
    stopping: 0,
    lower: 0,
    longRunning: 0,
    urgentCovered: 0,
    urgentBeyond: 0,
  };
  for (const worker of state.workers.values()) {
    if (worker.state.service !== unit.job.policy.service) continue;
    usage[freeKind(state, worker, now)] += worker.state.accelerators -
      worker.used.accelerators;
    usage.missing += worker.full.accelerators - worker.state.accelerators;
    for (const run of worker.runs) {
      usage[runKind(run, cover)] += run.step.accelerators;
    }
  }
  return usage;
}

function freeKind(
  state: SchedulerState,
  worker: Worker,
  now: Milliseconds,
): keyof Usage {
  if (!isUsable(state, worker, now)) return "unavailable";
  return isAvoided(worker, now) || !isAdmitted(worker, false)
    ? "avoided"
    : "free";
}

function runKind(run: Run, cover: GuaranteeCover): keyof Usage {
  if (run.stopping) return "stopping";
  if (run.job.policy.priority === 0) {
    return cover.covers(run.job) ? "urgentCovered" : "urgentBeyond";
  }
  return run.step.longRunning ? "longRunning" : "lower";
}

/** Logs each start that its worker has not confirmed in time, once. */
export function noteUnconfirmedStarts(
  state: SchedulerState,
  now: Milliseconds,
): void {
  for (const run of state.runs.values()) {
    if (run.confirmed || run.stopping || run.overdue) continue;
    if (now - run.startedAt < NOTICE_INTERVAL) continue;
    run.overdue = true;
    const agent = state.agents.get(run.agent);
    state.effects.push({
      kind: "log",
      level: "warn",
      text: "Start not confirmed.",
      fields: {
        job: run.job.request.id,
        task: run.name,
        run: run.run,
        agent: run.agent,
        stored: run.job.storedVersion >= run.version,
        silence: agent ? Math.round(now - agent.lastHeard) : -1,
      },
    });
  }
}
