/**
 * Finds workers for a unit, on free capacity or by preemption.
 *
 * @module
 */

import { SECOND } from "@dragonflyledge/model";
import type { Milliseconds } from "@dragonflyledge/model";
import { placeBeyondHealth } from "../health/probe.ts";
import type { GuaranteeCover } from "../wait/guarantees.ts";
import { isUrgent, RECLAIM_DELAY } from "../wait/units.ts";
import type { Unit } from "../wait/units.ts";
import { taskWeight } from "./fit.ts";
import type { CandidateWorker } from "./fit.ts";
import { placeTasks } from "./place.ts";
import { joinWait } from "./isolation.ts";
import { isolationWait, isSuspected, placeSuspect } from "./place_suspect.ts";
import type { Placement, PreemptionRule } from "./place.ts";
import type { PlanningRound } from "./round.ts";

/** Wait for capacity near the data or in one rack before placing elsewhere. */
const LOCALITY_WAIT: Milliseconds = 1500;
/** Same wait for urgent tasks, which must start within a bounded time. */
const URGENT_LOCALITY_WAIT: Milliseconds = 300;
/** Tasks that waited this long may use workers with recent failures. */
const AVOIDANCE_WAIT: Milliseconds = 1500;
/**
 * Urgent tasks that waited this long start on any free capacity instead of
 * waiting for faster workers, so that they begin within the reclaim limit.
 */
const RATE_WAIT: Milliseconds = SECOND;

/** Work that may be lost to preemption for each unit of work that it starts. */
const PREEMPTION_RATIO = 0.5;
/** Same for a unit that is late in any case. */
const LATE_PREEMPTION_RATIO = 0.1;

interface Fields {
  round: PlanningRound;
  unit: Unit;
  cover: GuaranteeCover;
}

/**
 * Finds workers for the unit. Those of a suspect have no other tasks, or after
 * a wait the fewest that are lost if they crash.
 */
export function findPlacement(fields: Fields): Placement | undefined {
  const { round, unit } = fields;
  if (!isSuspected(unit)) {
    const find = (round: PlanningRound) =>
      findUsualPlacement({ ...fields, round });
    return find(round) ?? placeBeyondHealth(round, unit, find) ??
      joinSuspects(fields);
  }
  const placement = placeSuspect(round, unit);
  if (placement || isolationWait(unit, round.now) > 0) return placement;
  return findUsualPlacement(fields) ?? joinSuspects(fields);
}

/** Finds workers also among those that suspects have kept for long. */
function joinSuspects(fields: Fields): Placement | undefined {
  const { round, unit } = fields;
  const waited = round.now - unit.readyAt;
  if (!round.hasIsolated || waited < joinWait(isUrgent(unit))) return undefined;
  return findUsualPlacement({ ...fields, round: round.withJoinable() });
}

/**
 * Finds workers for the unit: free capacity near its data first, then any free
 * capacity once the locality wait is over or if no worker is near the data, and
 * then, for an urgent unit, by preemption of lower priorities. A gang that asks
 * for one rack is placed across racks only after the locality wait. A unit that
 * may reclaim preempts, at last, urgent runs that no guarantee covers.
 */
function findUsualPlacement(fields: Fields): Placement | undefined {
  const { round, unit, cover } = fields;
  const { step } = unit;
  const urgent = isUrgent(unit);
  const waited = round.now - unit.readyAt;
  const waitsForLocality =
    waited < (urgent ? URGENT_LOCALITY_WAIT : LOCALITY_WAIT);
  const avoid = waited < AVOIDANCE_WAIT;
  const mayPreempt = urgent && !round.state.survey;
  if (!mayPreempt && round.isFull(unit, avoid)) return undefined;
  const candidates = round.candidates(unit, avoid);
  const nearData = step.dataRack === ""
    ? []
    : candidates.filter((each) => each.worker.state.rack === step.dataRack);
  // Long-running tasks are not preempted, since it is not known here how many
  // tasks of such a step may be down at once.
  const isLower: PreemptionRule = (run) =>
    run.job.policy.priority > 0 && !run.step.longRunning;
  const isReclaimable: PreemptionRule = (run) =>
    !cover.covers(run.job) && !run.step.longRunning;
  const oneRack = step.gang && step.sameRack && unit.tasks.length > 1;
  const search = createSearch(round, unit, candidates);
  const { place, placeFree } = search;
  const limit = mayPreempt ? preemptionLimit(round, unit) : 0;
  const placeByPreemption = (rack: boolean) => {
    if (!mayPreempt) return undefined;
    const weighed = place(isLower, rack);
    if (isWithin(weighed, limit)) return weighed;
    const cheapest = search.placeAnyhow(isLower, rack);
    return isWithin(cheapest, limit) ? cheapest : undefined;
  };
  const free =
    (nearData.length > 0 ? placeFree(oneRack, nearData) : undefined) ??
      (nearData.length === 0 || !waitsForLocality
        ? placeFree(oneRack)
        : undefined);
  if (free) {
    const mayImprove = mayPreempt && waited < RATE_WAIT && free.risk > 0;
    const faster = mayImprove ? place(isLower, oneRack) : undefined;
    return faster && isWorthPreempting(unit, free, faster) ? faster : free;
  }
  const preempted = placeByPreemption(oneRack);
  if (preempted) return preempted;
  const acrossRacks = oneRack && !waitsForLocality;
  const spread = acrossRacks
    ? placeFree(false) ?? placeByPreemption(false)
    : undefined;
  if (spread) return spread;
  if (!mayPreempt) noteIfFull(round, unit, avoid);
  if (!mayPreempt || !unit.mayReclaim) return undefined;
  const reclaim = (rack: boolean) => {
    const placement = place(isReclaimable, rack);
    return isWithin(placement, limit) ? placement : undefined;
  };
  return reclaim(oneRack) ?? (acrossRacks ? reclaim(false) : undefined);
}

function isWithin(placement: Placement | undefined, limit: number): boolean {
  return placement !== undefined && placement.cost <= limit;
}

/** Ways to place the unit on the candidates, by the forecast of its job. */
function createSearch(
  round: PlanningRound,
  unit: Unit,
  candidates: CandidateWorker[],
) {
  const { step } = unit;
  const asksForRack = step.gang && step.sameRack && unit.tasks.length > 1;
  const forecast = round.forecaster?.forecast(unit, false);
  const forecastAcross = asksForRack
    ? round.forecaster?.forecast(unit, true)
    : forecast;
  const fields = {
    step,
    count: unit.tasks.length,
    stopCost: round.stopCost,
    interferenceCost: round.interferenceCost(unit),
    reverseOrder: isUrgent(unit),
  };

  function place(
    mayPreempt: PreemptionRule,
    oneRack: boolean,
    from = candidates,
  ): Placement | undefined {
    return placeTasks({
      ...fields,
      candidates: from,
      mayPreempt,
      oneRack,
      forecast: oneRack ? forecast : forecastAcross,
    });
  }

  /** Places the unit at the lowest cost, however late it ends. */
  function placeAnyhow(
    mayPreempt: PreemptionRule,
    oneRack: boolean,
    from = candidates,
  ): Placement | undefined {
    const prediction = oneRack ? forecast : forecastAcross;
    if (!prediction) return undefined;
    const placement = placeTasks({
      ...fields,
      candidates: from,
      mayPreempt,
      oneRack,
    });
    if (!placement) return undefined;
    const waits = placement.victims.size > 0;
    const risks = placement.workers
      .map((worker) => prediction.riskOn(worker, waits));
    return { ...placement, risk: Math.max(...risks) };
  }

  /**
   * Places the unit on free capacity. It waits for runs that are stopping on
   * faster workers only if it is urgent, and not for long.
   */
  function placeFree(
    oneRack: boolean,
    from = candidates,
  ): Placement | undefined {
    const placement = place(undefined, oneRack, from);
    if (!forecast || !placement || placement.victims.size === 0) {
      return placement;
    }
    const mayWait = isUrgent(unit) && round.now - unit.readyAt < RATE_WAIT;
    if (mayWait) return placement;
    const atOnce = placeAnyhow(undefined, oneRack, from);
    return atOnce?.victims.size === 0 ? atOnce : placement;
  }

  return { place, placeAnyhow, placeFree };
}

/**
 * Notes that the need of the unit finds no room in this round, if not even one
 * of its tasks would fit.
 */
function noteIfFull(round: PlanningRound, unit: Unit, avoid: boolean): void {
  const { step } = unit;
  if (step.maxPerWorker > 0) return;
  const single = placeTasks({
    step,
    count: 1,
    candidates: round.candidates(unit, avoid),
    mayPreempt: undefined,
    stopCost: round.stopCost,
    oneRack: false,
    reverseOrder: false,
  });
  if (!single) round.noteFull(unit, avoid);
}

/**
 * Core-seconds that may be lost for the unit to start. A unit that may reclaim
 * stops runs at any cost; one that is late in any case does so only when it has
 * to start to keep the reclaim limit.
 */
function preemptionLimit(round: PlanningRound, unit: Unit): number {
  const mustStart = round.now - unit.readyAt >= RECLAIM_DELAY;
  if (unit.mayReclaim && (mustStart || !unit.late)) return Infinity;
  const ratio = unit.late ? LATE_PREEMPTION_RATIO : PREEMPTION_RATIO;
  return ratio * workOf(unit);
}

/**
 * Whether the unit may stop runs to end earlier than on free capacity. The cost
 * must not exceed `PREEMPTION_RATIO` of the work that is no longer late.
 */
function isWorthPreempting(
  unit: Unit,
  free: Placement,
  faster: Placement,
): boolean {
  const saved = (free.risk - faster.risk) * workOf(unit);
  const extraCost = Math.max(0, faster.cost - free.cost);
  return extraCost < PREEMPTION_RATIO * saved;
}

/** Work of the unit in core-seconds. */
function workOf({ step, tasks }: Unit): number {
  return tasks.length * taskWeight(step) * step.estimate / SECOND;
}
