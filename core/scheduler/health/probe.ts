/**
 * Starts tasks on workers that are not sound, where no other place is left: one
 * cheap task as a probe, or a task that a guarantee covers.
 *
 * Load pattern: jobs wait for room while a tenth of the workers is on probation.
 * A probe shows at the cost of one run whether a worker is sound again.
 *
 * @module
 */

import { placeTasks } from "../place/place.ts";
import type { Placement } from "../place/place.ts";
import type { PlanningRound } from "../place/round.ts";
import type { Unit } from "../wait/units.ts";
import { mayUseAnyWorker } from "./admission.ts";

/**
 * Places a unit for which no sound worker has room. `find` looks for workers in
 * the round that it is given.
 */
export function placeBeyondHealth(
  round: PlanningRound,
  unit: Unit,
  find: (round: PlanningRound) => Placement | undefined,
): Placement | undefined {
  if (!round.hasUnsound) return undefined;
  const probe = placeProbe(round, unit);
  if (probe) return probe;
  if (!mayUseAnyWorker(unit, round.now)) return undefined;
  return find(round.withUnsound());
}

function placeProbe(
  round: PlanningRound,
  unit: Unit,
): Placement | undefined {
  const candidates = round.probeable(unit);
  if (candidates.length === 0) return undefined;
  const placement = placeTasks({
    step: unit.step,
    count: unit.tasks.length,
    candidates,
    mayPreempt: undefined,
    stopCost: round.stopCost,
    oneRack: false,
    reverseOrder: false,
  });
  if (!placement || placement.victims.size > 0) return undefined;
  for (const worker of placement.workers) round.close(worker);
  round.state.effects.push({
    kind: "log",
    level: "info",
    text: "Worker probed.",
    fields: {
      job: unit.job.request.id,
      tasks: unit.tasks.join(),
      agents: placement.workers.map(({ agent }) => agent).join(),
    },
  });
  return placement;
}
