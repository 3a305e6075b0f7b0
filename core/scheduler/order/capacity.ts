/**
 * Capacity of workers, which may shrink and grow while they run.
 *
 * @module
 */

import type { WorkerState } from "../messages.ts";
import { addCapacity, gangOf, stopRun, taskCapacity } from "../runs.ts";
import type { Capacity } from "../messages.ts";
import type { Run, SchedulerState, Worker } from "../state.ts";

const KINDS = ["millicores", "megabytes", "accelerators"] as const;

/** Capacity that the worker announces now. */
export function capacityOf(reported: Capacity): Capacity {
  const { millicores, megabytes, accelerators } = reported;
  return { millicores, megabytes, accelerators };
}

/** Most of each resource that is in either amount. */
export function largestOf(a: Capacity, b: Capacity): Capacity {
  return {
    millicores: Math.max(a.millicores, b.millicores),
    megabytes: Math.max(a.megabytes, b.megabytes),
    accelerators: Math.max(a.accelerators, b.accelerators),
  };
}

/** Logs a capacity that changed, and plans anew. */
export function noteCapacity(
  state: SchedulerState,
  worker: Worker,
  reported: WorkerState,
): void {
  const before = capacityOf(worker.state);
  const now = capacityOf(reported);
  if (isEqualCapacity(before, now)) return;
  worker.full = largestOf(worker.full, now);
  state.planDue = true;
  state.effects.push({
    kind: "log",
    level: "warn",
    text: "Worker capacity changed.",
    fields: {
      agent: worker.agent,
      worker: reported.key,
      millicores: now.millicores,
      megabytes: now.megabytes,
      accelerators: now.accelerators,
      usedMillicores: worker.used.millicores,
      usedMegabytes: worker.used.megabytes,
      usedAccelerators: worker.used.accelerators,
      shrunk: isShrunk(worker.full, now),
    },
  });
}

/**
 * Withdraws starts that a shrunk worker has no room for. Tasks that run go on;
 * only new ones must not exceed its capacity.
 */
export function withdrawExcess(state: SchedulerState, worker: Worker): void {
  const capacity = capacityOf(worker.state);
  const kept = { ...worker.used };
  if (isWithin(kept, capacity)) return;
  const latestFirst = [...worker.runs].reverse();
  for (const run of latestFirst) {
    if (isWithin(kept, capacity)) return;
    if (run.confirmed || run.stopping) continue;
    const text = "Starts withdrawn from a shrunk worker.";
    for (const each of withdrawStarts(state, run, text)) {
      if (!worker.runs.has(each) || each.confirmed) continue;
      addCapacity(kept, taskCapacity(each.step), -1);
    }
  }
}

/**
 * Stops a start that is not confirmed, and the rest of its gang. Logs `text`,
 * and returns the runs that it stopped.
 */
export function withdrawStarts(
  state: SchedulerState,
  run: Run,
  text: string,
): Run[] {
  const runs = gangOf(run).filter((each) => !each.stopping);
  for (const each of runs) stopRun(state, each);
  state.effects.push({
    kind: "log",
    level: "info",
    text,
    fields: {
      job: run.job.request.id,
      worker: run.worker,
      runs: runs.map((each) => each.name).join(),
    },
  });
  return runs;
}

/** Capacity that the fleet's workers had at most and do not announce now. */
export function missingCapacity(state: SchedulerState): Capacity {
  const missing: Capacity = { millicores: 0, megabytes: 0, accelerators: 0 };
  for (const { full, state: announced } of state.workers.values()) {
    for (const kind of KINDS) {
      missing[kind] += full[kind] - announced[kind];
    }
  }
  return missing;
}

/** Whether both amounts are the same. */
export function isEqualCapacity(a: Capacity, b: Capacity): boolean {
  return KINDS.every((kind) => a[kind] === b[kind]);
}

function isWithin(used: Capacity, capacity: Capacity): boolean {
  return KINDS.every((kind) => used[kind] <= capacity[kind]);
}

function isShrunk(full: Capacity, now: Capacity): boolean {
  return KINDS.some((kind) => now[kind] < full[kind]);
}
