/**
 * What one round of planning knows of the workers: free capacity, candidates
 * for a step, and the cost of stopping runs.
 *
 * Load pattern: thousands of tasks wait while hundreds of workers are full. A
 * round then looks at each worker once for each different need, not once for
 * each task.
 *
 * @module
 */

import type { Milliseconds } from "@dragonflyledge/model";
import { admissionOf, isAdmitted, mayProbe } from "../health/admission.ts";
import type { Admission } from "../health/admission.ts";
import {
  isAvoided,
  isProbeDue,
  isStepPaced,
  takesNoneNow,
} from "../health/pace.ts";
import { crashCost, isUsable, stopCost } from "./fit.ts";
import type { CandidateWorker } from "./fit.ts";
import { createForecaster } from "./forecast.ts";
import type { Forecaster } from "./forecast.ts";
import type { Step, TaskProgress } from "../job.ts";
import { createInterferenceCosts } from "../interference/cost.ts";
import type { InterferenceCost } from "../interference/cost.ts";
import { addCapacity, gangOf, taskCapacity } from "../runs.ts";
import type { Capacity } from "../messages.ts";
import type { Run, SchedulerState, Worker } from "../state.ts";
import { isClosed, isJoinable } from "./isolation.ts";
import { isUrgent } from "../wait/units.ts";
import type { Unit } from "../wait/units.ts";

/** Workers and costs as of one round; kept up to date by `take`. */
export interface PlanningRound {
  readonly state: SchedulerState;
  readonly now: Milliseconds;
  /** Predicts lateness; undefined while the date is not known. */
  readonly forecaster?: Forecaster | undefined;
  /**
   * Workers that may take tasks of the unit, grouped by rack.
   *
   * @param avoid whether workers with a recent failure or refusal are left out
   */
  candidates(unit: Unit, avoid: boolean): CandidateWorker[];
  /** Whether any worker of the round is not sound. */
  readonly hasUnsound: boolean;
  /** Whether the unit can't start on some workers that take others. */
  isRestricted(unit: Unit): boolean;
  /** Workers on probation on which the unit may start as a probe. */
  probeable(unit: Unit): CandidateWorker[];
  /** The same round, in which workers are candidates whatever their health. */
  withUnsound(): PlanningRound;
  /** Whether a run on any worker of the round is isolated. */
  readonly hasIsolated: boolean;
  /** The same round, in which tasks may join suspects that are joinable. */
  withJoinable(): PlanningRound;
  /** Subtracts a task of the step from the free capacity of the worker. */
  take(worker: Worker, step: Step): void;
  /** Keeps all other tasks off the worker in this round. */
  close(worker: Worker): void;
  /** Work, in core-seconds, that is lost if the run and its gang are stopped. */
  stopCost(run: Run): number;
  /** Cost, in core-seconds, of a crash of the worker. */
  joinCost(worker: Worker): number;
  /** Cost of interference for tasks of the unit; undefined if there is none. */
  interferenceCost(unit: Unit): InterferenceCost | undefined;
  /** Notes that no worker has room for a task with the needs of the unit. */
  noteFull(unit: Unit, avoid: boolean): void;
  /** Whether the same need found no room earlier in this round. */
  isFull(unit: Unit, avoid: boolean): boolean;
}

/** Which workers are candidates besides those that are sound and open. */
interface CandidateScope {
  unsound: boolean;
  joinable: boolean;
}
const USUAL: CandidateScope = { unsound: false, joinable: false };
const WITH_UNSOUND: CandidateScope = { unsound: true, joinable: false };
const WITH_JOINABLE: CandidateScope = { unsound: false, joinable: true };

/** A usable worker with its free capacity. */
interface UsableWorker {
  worker: Worker;
  free: Capacity;
  /** Sorts the workers by rack, so that those of a rack are adjacent. */
  order: string;
}

/** Starts a round on the present state. */
export function createRound(
  state: SchedulerState,
  now: Milliseconds,
): PlanningRound {
  const usable = listUsable(state, now);
  const forecaster = createForecaster(state, now);
  const free = new Map(usable.map((each) => [each.worker, each.free]));
  const lists = new Map<string, CandidateWorker[]>();
  const costs = new Map<Run, number>();
  const full = new Set<string>();
  const interference = createInterferenceCosts(state);
  /** Whether the step of these tasks is paced, as of the last start. */
  const paced = new Map<TaskProgress[], boolean>();
  const mostlySound = new Map<string, boolean>();

  const hasIsolated = usable.some(({ worker }) => worker.isolatedRuns > 0);
  const hasUnsound = usable.some(({ worker }) => !isAdmitted(worker, true));
  const lowest = hasUnsound ? lowestPriority(state) : 0;

  function isMostlySound(service: string): boolean {
    const known = mostlySound.get(service) ?? areMostSound(usable, service);
    mostlySound.set(service, known);
    return known;
  }

  function isPaced(unit: Unit): boolean {
    const { outcomes } = unit.job;
    if (outcomes.size === 0) return false;
    const tasks = unit.occurrence.steps[unit.stepIndex]!;
    const known = paced.get(tasks) ?? isStepPaced(unit, now);
    paced.set(tasks, known);
    return known;
  }

  function demandsOf(unit: Unit): Admission {
    const demands = admissionOf(unit, isPaced(unit), now);
    const { service } = unit.job.policy;
    const soundOnly = demands.soundOnly && hasUnsound &&
      isMostlySound(service);
    return { ...demands, soundOnly };
  }

  function listMatching(
    unit: Unit,
    joinable: boolean,
    isWanted: (worker: Worker) => boolean,
  ): CandidateWorker[] {
    const { service } = unit.job.policy;
    const { label } = unit.step;
    const urgent = isUrgent(unit);
    return usable
      .filter(({ worker }) =>
        worker.state.service === service &&
        (!isClosed(worker, urgent) ||
          joinable && isJoinable(worker, urgent, now)) &&
        (label === "" || worker.state.labels.includes(label)) &&
        isWanted(worker)
      )
      .map((each) => ({ worker: each.worker, free: each.free, stepTasks: 0 }));
  }

  function listCandidates(
    unit: Unit,
    avoid: boolean,
    { unsound, joinable }: CandidateScope,
  ): CandidateWorker[] {
    const { waits, soundOnly, excluded } = demandsOf(unit);
    if (waits && !unsound) return [];
    const key = `${unsound} ${joinable} ${soundOnly} ${listKey(unit, avoid)}`;
    const known = lists.get(key) ?? listMatching(
      unit,
      joinable,
      (worker) =>
        (unsound ||
          isAdmitted(worker, soundOnly) && !takesNoneNow(worker, now)) &&
        !(avoid && isAvoided(worker, now)),
    );
    lists.set(key, known);
    const listed = excluded.size === 0 || unsound
      ? known
      : known.filter(({ worker }) => !excluded.has(worker.state.key));
    if (unit.step.maxPerWorker === 0) return listed;
    return listed.map((each) => ({
      ...each,
      stepTasks: countStepTasks(unit, each.worker),
    }));
  }

  /** Key of what the unit needs; units with the same key find the same room. */
  function fullKey(
    unit: Unit,
    avoid: boolean,
    { joinable }: CandidateScope,
  ): string {
    const { soundOnly } = demandsOf(unit);
    return `${joinable} ${soundOnly} ${needKey(unit, avoid)}`;
  }

  function noteFull(unit: Unit, avoid: boolean, scope: CandidateScope): void {
    // Others may find room on the workers that the unit excludes.
    const { waits, excluded } = demandsOf(unit);
    if (waits || excluded.size > 0) return;
    full.add(fullKey(unit, avoid, scope));
  }

  /** Functions of the round that look at the workers of the scope. */
  function searchIn(
    scope: CandidateScope,
  ): Pick<PlanningRound, "candidates" | "noteFull" | "isFull"> {
    return {
      candidates: (unit, avoid) => listCandidates(unit, avoid, scope),
      noteFull: (unit, avoid) => noteFull(unit, avoid, scope),
      isFull: (unit, avoid) => full.has(fullKey(unit, avoid, scope)),
    };
  }

  function close(worker: Worker): void {
    const amount = free.get(worker);
    if (!amount) return;
    amount.millicores = -Infinity;
    amount.megabytes = -Infinity;
    amount.accelerators = -Infinity;
  }

  const round: PlanningRound = {
    state,
    now,
    forecaster,
    hasUnsound,
    hasIsolated,
    ...searchIn(USUAL),
    isRestricted: (unit) => {
      const { waits, soundOnly, excluded } = demandsOf(unit);
      return !waits && (soundOnly || excluded.size > 0);
    },
    probeable: (unit) => {
      if (!mayProbe(unit, lowest) || isPaced(unit)) return [];
      return listMatching(unit, false, (worker) => isProbeDue(worker, now));
    },
    withUnsound: () => ({
      ...round,
      ...searchIn(WITH_UNSOUND),
      noteFull: () => {},
      isFull: () => false,
    }),
    withJoinable: () => ({ ...round, ...searchIn(WITH_JOINABLE) }),
    take: (worker, step) => {
      interference.noteTaken(worker);
      paced.clear();
      const amount = free.get(worker);
      if (amount) addCapacity(amount, taskCapacity(step), -1);
      if (!isAdmitted(worker, true)) close(worker);
    },
    close,
    stopCost: (run) => {
      const cost = run.stopping ? undefined : costs.get(run);
      if (cost !== undefined) return cost;
      if (run.stopping) return stopCost(run, now);
      const computed = stopCost(run, now) + (forecaster?.lateLossOf(run) ?? 0);
      // All members of a gang end together, so that each costs the same.
      for (const each of gangOf(run)) costs.set(each, computed);
      return computed;
    },
    joinCost: (worker) => {
      let sum = 0;
      for (const run of worker.runs) sum += crashCost(run, now);
      return sum;
    },
    interferenceCost: interference.costFor,
  };
  return round;
}

/** Whether at least half of the workers of the service are sound. */
function areMostSound(usable: UsableWorker[], service: string): boolean {
  let excess = 0;
  for (const { worker } of usable) {
    if (worker.state.service !== service) continue;
    excess += isAdmitted(worker, true) ? 1 : -1;
  }
  return excess >= 0;
}

/** Lowest priority, which is the highest number, of all jobs. */
function lowestPriority(state: SchedulerState): number {
  let lowest = 0;
  for (const { policy } of state.active) {
    lowest = Math.max(lowest, policy.priority);
  }
  return lowest;
}

function listUsable(state: SchedulerState, now: Milliseconds): UsableWorker[] {
  const usable: UsableWorker[] = [];
  for (const worker of state.workers.values()) {
    if (!isUsable(state, worker, now)) continue;
    const { millicores, megabytes, accelerators, rack, key } = worker.state;
    const free: Capacity = { millicores, megabytes, accelerators };
    addCapacity(free, worker.used, -1);
    usable.push({ worker, free, order: `${rack} ${key}` });
  }
  return usable.sort((a, b) => a.order < b.order ? -1 : 1);
}

/** Counts the runs of the unit's step that are on the worker. */
function countStepTasks(unit: Unit, worker: Worker): number {
  let count = 0;
  for (const run of worker.runs) {
    const { occurrence, step } = run.task;
    if (
      run.job === unit.job && occurrence === unit.occurrence.index &&
      step === unit.stepIndex
    ) count++;
  }
  return count;
}

/** Key of the list of candidates that the unit shares with others. */
function listKey(unit: Unit, avoid: boolean): string {
  const urgent = isUrgent(unit);
  return `${avoid} ${urgent} ${unit.job.policy.service} ${unit.step.label}`;
}

/** Key of the unit's candidates and of what one of its tasks needs. */
function needKey(unit: Unit, avoid: boolean): string {
  const { millicores, megabytes, accelerators } = taskCapacity(unit.step);
  return `${listKey(unit, avoid)} ${millicores} ${megabytes} ${accelerators}`;
}
