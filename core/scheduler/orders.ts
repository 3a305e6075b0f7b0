/**
 * Orders of one agent: everything that is wanted and not confirmed yet.
 *
 * @module
 */

import { findTask, isCurrent } from "./runs.ts";
import type { Run, SchedulerEffect, SchedulerState } from "./state.ts";

/** Returns the orders of an agent, or undefined if its worker is not known. */
export function createOrders(
  state: SchedulerState,
  agentName: string,
): SchedulerEffect | undefined {
  const worker = state.agents.get(agentName)?.worker;
  if (!worker) return undefined;
  const runs = [...worker.runs];
  const name = (run: Run) => ({ task: run.name, run: run.run });
  return {
    kind: "orders",
    agent: agentName,
    orders: {
      worker: worker.state.key,
      starts: runs.filter(isStartable).map((run) => ({
        ...name(run),
        spec: run.job.request.spec,
        checkpoint: findTask(run.job, run.task)?.checkpoint ?? "",
      })),
      stops: runs.filter((run) => run.stopping).map(name),
      acknowledged: worker.acknowledged,
    },
  };
}

/** A start is ordered only after the store holds it. */
function isStartable(run: Run): boolean {
  return !run.confirmed && !run.stopping && !run.job.cancelled &&
    run.job.storedVersion >= run.version && isCurrent(run);
}
