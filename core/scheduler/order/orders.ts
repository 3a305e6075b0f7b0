/**
 * Orders to one agent: all starts and stops that are not confirmed yet.
 *
 * @module
 */

import { capacityOf } from "./capacity.ts";
import { FRAME_LIMIT } from "@dragonflyledge/model";
import { rateToTell } from "../rates/rate_exchange.ts";
import { isEvacuated } from "./evacuated_domains.ts";
import { findTask, isCurrent } from "../runs.ts";
import type { SchedulerEffect } from "../effects.ts";
import type { Run, SchedulerState } from "../state.ts";

/** Most bytes of the starts in one message; the rest of a frame holds names. */
const STARTS_LIMIT = FRAME_LIMIT / 2;
/** Bytes of a start beside its spec and its checkpoint, at most. */
const START_SIZE = 128;
/** Most bytes of one character of a string. */
const MAX_UTF8_BYTES = 3;

/**
 * Creates the orders to an agent. Returns undefined if no link to it is open; it
 * gets them after its next report. Without a worker they only tell the agent the
 * leader's epoch, which it needs to call its worker.
 */
export function createOrders(
  state: SchedulerState,
  agentName: string,
): SchedulerEffect | undefined {
  const agent = state.agents.get(agentName);
  if (!agent?.connected || agent.lastReport === undefined) return undefined;
  const { worker, lastReport: answersReport } = agent;
  const fence = state.fences.get(agentName);
  if (!worker) {
    const none = { worker: "", starts: [], stops: [], acknowledged: 0 };
    return {
      kind: "orders",
      agent: agentName,
      orders: { ...none, answersReport, ...(fence && { fence }) },
    };
  }
  const runs = [...worker.runs];
  const rate = rateToTell(state, agent);
  const name = (run: Run) => ({ task: run.name, run: run.run });
  // Before the worker's first lists nothing is withdrawn, but an agent that has
  // restarted would begin the starts that its predecessor left open.
  const startable = isEvacuated(state, worker) ? [] : runs.filter(isStartable);
  const starts = startable.slice(0, countFitting(startable));
  for (const run of starts) run.ordered = true;
  return {
    kind: "orders",
    agent: agentName,
    orders: {
      answersReport,
      ...(fence && { fence }),
      worker: worker.state.key,
      capacity: starts.length > 0 ? capacityOf(worker.state) : undefined,
      starts: starts.map((run) => ({
        ...name(run),
        spec: run.job.request.spec,
        checkpoint: checkpointOf(run),
      })),
      later: startable.slice(starts.length).map(name),
      stops: runs.filter((run) => run.stopping).map(name),
      acknowledged: worker.acknowledged,
      ...(rate && { rate }),
    },
  };
}

/** Counts the runs whose starts one message can hold; at least one. */
function countFitting(runs: Run[]): number {
  let size = 0;
  const end = runs.findIndex((run, index) => {
    size += run.job.specSize + MAX_UTF8_BYTES * checkpointOf(run).length +
      START_SIZE;
    return index > 0 && size > STARTS_LIMIT;
  });
  return end < 0 ? runs.length : end;
}

function checkpointOf(run: Run): string {
  return findTask(run.job, run.task)?.checkpoint ?? "";
}

/** Whether to order the run's start; only a start that is stored is ordered. */
function isStartable(run: Run): boolean {
  return !run.confirmed && !run.stopping && !run.job.cancelled &&
    run.job.storedVersion >= run.version && isCurrent(run);
}
