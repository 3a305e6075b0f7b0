/**
 * Cost, in placement, of tasks that slow each other down.
 *
 * @module
 */

import type { Run, SchedulerState, Worker } from "../state.ts";
import type { Unit } from "../wait/units.ts";
import { kindName } from "./kinds.ts";
import { kindOfRun } from "./observe.ts";

/**
 * Cost, in core-seconds, of tasks that stop each other altogether. It outweighs
 * free accelerators and mixed checkpoints on a worker for slow-downs of 10 %
 * and more, and stays below the cost of waiting for a run that is stopping.
 */
const INTERFERENCE_COST = 1;
/** Highest cost, in core-seconds, of one task beside others. */
export const MAX_INTERFERENCE_COST = 0.4;

/**
 * Cost, in core-seconds, of one more task on the worker.
 *
 * @param together whether other tasks of the same step are placed there, too
 */
export type InterferenceCost = (worker: Worker, together: boolean) => number;

/** Costs in one round of planning. */
export interface InterferenceCosts {
  /**
   * Returns the costs for tasks of the unit; undefined if there are none, which
   * is so as long as no pair is known.
   */
  costFor(unit: Unit): InterferenceCost | undefined;
  /** Notes that a task was placed on the worker. */
  noteTaken(worker: Worker): void;
}

/** Starts a round on the present state. */
export function createInterferenceCosts(
  state: SchedulerState,
): InterferenceCosts {
  const { interference } = state;
  const costs = new Map<string, Map<Worker, number>>();

  function costOf(kind: string, worker: Worker): number {
    let sum = 0;
    for (const other of kindsOn(worker)) {
      sum += INTERFERENCE_COST * interference.lossBetween(kind, other);
    }
    return Math.min(MAX_INTERFERENCE_COST, sum);
  }

  return {
    costFor: (unit) => {
      if (interference.pairCount() === 0) return undefined;
      const kind = kindOfUnit(unit);
      if (!interference.concerns(kind)) return undefined;
      const known = costs.get(kind) ?? new Map<Worker, number>();
      costs.set(kind, known);
      const own = INTERFERENCE_COST * interference.lossBetween(kind, kind);
      return (worker, together) => {
        const cost = known.get(worker) ?? costOf(kind, worker);
        known.set(worker, cost);
        return together && cost < own
          ? Math.min(MAX_INTERFERENCE_COST, own)
          : cost;
      };
    },
    noteTaken: (worker) => {
      for (const known of costs.values()) known.delete(worker);
    },
  };
}

/** Kinds that slow the unit's tasks down on their workers, or are slowed. */
export function listInterfering(
  state: SchedulerState,
  unit: Unit,
  workers: Worker[],
): string[] {
  const { interference } = state;
  if (interference.pairCount() === 0) return [];
  const kind = kindOfUnit(unit);
  if (!interference.concerns(kind)) return [];
  const kinds = new Set(workers.flatMap((worker) => [...kindsOn(worker)]));
  return [...kinds].filter((other) =>
    interference.lossBetween(kind, other) > 0
  );
}

function kindOfUnit({ step, job, stepIndex }: Unit): string {
  return kindName({ step, queue: job.request.queue, stepIndex });
}

/** Kinds of the runs on the worker that were not told to stop. */
function kindsOn(worker: Worker): Set<string> {
  const staying = [...worker.runs].filter((run: Run) => !run.stopping);
  return new Set(staying.map(kindOfRun));
}
