/**
 * Predicts how late tasks end on each worker, and what that costs.
 *
 * Load pattern: the workers of one rack run tasks at 0.6 to 1.7 times the usual
 * rate. A gang ends with its slowest member, so that an urgent gang with one
 * member on a slow worker is late, while work with ample slack would be on time
 * there.
 *
 * @module
 */

import { SECOND } from "@dragonflyledge/model";
import type { Milliseconds } from "@dragonflyledge/model";
import type { Step } from "../job.ts";
import type { RateEstimate } from "../rates/rate_estimator.ts";
import { remainingTime } from "../order/evacuate.ts";
import { gangOf } from "../runs.ts";
import type { Run, SchedulerState, Worker } from "../state.ts";
import { isUrgent } from "../wait/units.ts";
import type { Unit } from "../wait/units.ts";
import { isUsable, taskWeight } from "./fit.ts";
import { objectiveOf } from "./objective.ts";
import type { StepObjective } from "./objective.ts";

/**
 * Factor between a usual and a cautious prediction. Estimates are off by 20 %
 * and the members of a gang differ by 15 %.
 */
const CAUTION = 1.25;
/** How much longer a task takes away from its data, or a gang across racks. */
const REMOTE_FACTOR = 3;
/** Time until a run that is told to stop has made room for another. */
const STOP_TIME: Milliseconds = 450;
/** Time from the decision on a start until the worker runs the task. */
const START_DELAY: Milliseconds = 50;
/** Time until a run that was stopped for others has started again. */
const RESTART_TIME: Milliseconds = 1500;
/** Value that a job loses by being late, as a multiple of its work. */
const LATE_LOSS = 2;
/**
 * Cost, in core-seconds, of a task with slack on a worker that is faster by a
 * factor of e. It exceeds the costs of fragmentation and of mixing for workers
 * that differ by a factor of 1.5 or more.
 */
const FAST_WORKER_COST = 0.3;
/** Same for a task that can be stopped for urgent ones at almost no loss. */
const CHECKPOINTING_FAST_WORKER_COST = 0.08;
/** Rates beyond these bounds cost no more. */
const SLOWEST_RATE = 0.5;
const FASTEST_RATE = 2;

/** What placement weighs of the workers' rates for one unit. */
export interface Forecast {
  /** Core-seconds that are lost if the unit ends late. */
  readonly stake: number;
  /**
   * Risk, from 0 to 1, that a task that starts on the worker now ends late.
   *
   * @param waits whether runs have to end there first
   */
  riskOn(worker: Worker, waits: boolean): number;
  /** Cost, in core-seconds, of taking the worker from urgent work. */
  costOf(worker: Worker): number;
}

/** How much time a unit has until it is late. */
export interface Prospect {
  /** Time for which it can wait and be on time on a worker of usual rate. */
  slack: Milliseconds;
  /** Whether it is late on any worker. */
  isLate: boolean;
}

/** Forecasts of one round of planning. */
export interface Forecaster {
  /**
   * Forecast for the tasks of the unit; undefined if its job has no objective
   * or if the workers do not differ.
   *
   * @param spread whether a gang that asks for one rack would have several
   */
  forecast(unit: Unit, spread: boolean): Forecast | undefined;
  /** Undefined if the unit's job has no objective. */
  prospectOf(unit: Unit): Prospect | undefined;
  /**
   * Core-seconds that are lost since the run is late if it is stopped, with its
   * gang; 0 if it is late in any case.
   */
  lateLossOf(run: Run): number;
}

/** Totals of the workers of one service. */
interface ServiceTotals {
  accelerators: number;
  /** Highest rate that any worker that takes tasks may have. */
  fastest: number;
}

const USUAL_RATE: RateEstimate = { rate: 1, low: 1, high: 1 };

/** Creates the forecaster of a round; undefined while the date is not known. */
export function createForecaster(
  state: SchedulerState,
  now: Milliseconds,
): Forecaster | undefined {
  const { rates, dateOffset } = state;
  if (dateOffset === undefined) return undefined;
  const date = now + dateOffset;
  const differ = rates.differ();
  const estimates = new Map<Worker, RateEstimate>();
  const services = new Map<string, ServiceTotals>();

  const rateOf = (worker: Worker): RateEstimate => {
    if (!differ) return USUAL_RATE;
    const known = estimates.get(worker) ?? rates.rateOf(worker.agent);
    estimates.set(worker, known);
    return known;
  };

  for (const worker of state.workers.values()) {
    const { service } = worker.state;
    const totals = services.get(service) ?? { accelerators: 0, fastest: 0 };
    totals.accelerators += worker.full.accelerators;
    if (isUsable(state, worker, now)) {
      totals.fastest = Math.max(totals.fastest, rateOf(worker).high);
    }
    services.set(service, totals);
  }

  const objectiveFor = (unit: Unit): StepObjective | undefined => {
    const totals = services.get(unit.job.policy.service);
    if (!totals || unit.step.longRunning) return undefined;
    const name = { occurrence: unit.occurrence.index, step: unit.stepIndex };
    return objectiveOf(unit.job.request, name, totals.accelerators);
  };

  const shortestTime = ({ job, step }: Unit): Milliseconds => {
    const fastest = services.get(job.policy.service)?.fastest || 1;
    return step.estimate / fastest / CAUTION;
  };

  return {
    forecast: (unit, spread) => {
      const objective = differ ? objectiveFor(unit) : undefined;
      if (!objective) return undefined;
      const { dueAt, worthlessAt } = objective;
      // A job that is late in any case can still end before it is worthless.
      const isLate = dueAt - date < shortestTime(unit) + START_DELAY;
      const left = (isLate ? worthlessAt : dueAt) - date - START_DELAY;
      return createForecast({ unit, spread, left, rateOf });
    },
    prospectOf: (unit) => {
      const objective = objectiveFor(unit);
      if (!objective) return undefined;
      const left = objective.dueAt - date - START_DELAY;
      return {
        slack: left - unit.step.estimate * CAUTION,
        isLate: left < shortestTime(unit),
      };
    },
    lateLossOf: (run) => {
      const totals = services.get(run.job.policy.service);
      if (!totals || run.step.longRunning) return 0;
      const { request } = run.job;
      const objective = objectiveOf(request, run.task, totals.accelerators);
      if (!objective) return 0;
      const left = objective.dueAt - date;
      const runs = gangOf(run);
      const remaining = Math.max(
        ...runs.map((each) => remainingTime(each, now)),
      );
      const again = run.step.checkpointing ? remaining : run.step.estimate;
      const isMadeLate = remaining <= left && RESTART_TIME + again > left;
      return isMadeLate ? LATE_LOSS * runs.length * workOf(run.step) : 0;
    },
  };
}

function createForecast(fields: {
  unit: Unit;
  spread: boolean;
  left: Milliseconds;
  rateOf: (worker: Worker) => RateEstimate;
}): Forecast {
  const { unit, spread, left, rateOf } = fields;
  const { step } = unit;
  const fastCost = costOfFastWorkers(unit);
  return {
    stake: LATE_LOSS * unit.tasks.length * workOf(step),
    riskOn: (worker, waits) => {
      const remote = spread || isAwayFromData(worker, step);
      const work = step.estimate * (remote ? REMOTE_FACTOR : 1);
      return riskOf(work, rateOf(worker), left - (waits ? STOP_TIME : 0));
    },
    costOf: (worker) => {
      if (fastCost === 0) return 0;
      const { rate } = rateOf(worker);
      const bounded = Math.min(FASTEST_RATE, Math.max(SLOWEST_RATE, rate));
      return fastCost * Math.log(bounded / SLOWEST_RATE);
    },
  };
}

/** Work of one task of the step in core-seconds. */
function workOf(step: Step): number {
  return taskWeight(step) * step.estimate / SECOND;
}

function costOfFastWorkers(unit: Unit): number {
  if (isUrgent(unit)) return 0;
  return unit.step.checkpointing
    ? CHECKPOINTING_FAST_WORKER_COST
    : FAST_WORKER_COST;
}

function isAwayFromData(worker: Worker, step: Step): boolean {
  return step.dataRack !== "" && worker.state.rack !== step.dataRack;
}

/** Risk, from 0 to 1, that the work takes more than the time left. */
function riskOf(
  work: Milliseconds,
  { low, high }: RateEstimate,
  left: Milliseconds,
): number {
  const longest = work / low * CAUTION;
  if (longest <= left) return 0;
  const shortest = work / high / CAUTION;
  return Math.min(1, (longest - left) / (longest - shortest));
}
