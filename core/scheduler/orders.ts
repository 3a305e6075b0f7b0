/**
 * Orders to one agent: all starts and stops that are not confirmed yet.
 *
 * @module
 */

import { capacityOf } from "./capacity.ts";
import { findTask, isCurrent } from "./runs.ts";
import type { Run, SchedulerEffect, SchedulerState } from "./state.ts";

/**
 * Creates the orders to an agent, or undefined for one to which no link is open,
 * which gets them after its next report. Without a
 * worker they only tell the agent the leader's epoch, which it needs to call
 * its worker.
 */
export function createOrders(
  state: SchedulerState,
  agentName: string,
): SchedulerEffect | undefined {
  const agent = state.agents.get(agentName);
  if (!agent?.connected) return undefined;
  const { worker } = agent;
  if (!worker) {
    const none = { worker: "", starts: [], stops: [], acknowledged: 0 };
    return { kind: "orders", agent: agentName, orders: none };
  }
  const runs = [...worker.runs];
  const name = (run: Run) => ({ task: run.name, run: run.run });
  const startable = runs.filter(isStartable);
  for (const run of startable) run.ordered = true;
  return {
    kind: "orders",
    agent: agentName,
    orders: {
      worker: worker.state.key,
      capacity: startable.length > 0 ? capacityOf(worker.state) : undefined,
      starts: startable.map((run) => ({
        ...name(run),
        spec: run.job.request.spec,
        checkpoint: findTask(run.job, run.task)?.checkpoint ?? "",
      })),
      stops: runs.filter((run) => run.stopping).map(name),
      acknowledged: worker.acknowledged,
    },
  };
}

/** Whether to order the run's start; only a start that is stored is ordered. */
function isStartable(run: Run): boolean {
  return !run.confirmed && !run.stopping && !run.job.cancelled &&
    run.job.storedVersion >= run.version && isCurrent(run);
}
