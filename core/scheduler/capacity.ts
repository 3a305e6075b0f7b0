/**
 * Capacity of workers, which may shrink and grow while they run.
 *
 * @module
 */

import type { WorkerState } from "./messages.ts";
import type { Capacity, SchedulerState, Worker } from "./state.ts";

/** Capacity that the worker announces now. */
export function capacityOf(reported: WorkerState): Capacity {
  const { millicores, megabytes, accelerators } = reported;
  return { millicores, megabytes, accelerators };
}

/** Logs a capacity that changed, and plans anew. */
export function noteCapacity(
  state: SchedulerState,
  worker: Worker,
  reported: WorkerState,
): void {
  const before = capacityOf(worker.state);
  const now = capacityOf(reported);
  if (isEqual(before, now)) return;
  const { full } = worker;
  for (const kind of kindsOf(full)) {
    full[kind] = Math.max(full[kind], now[kind]);
  }
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
      shrunk: isShrunk(full, now),
    },
  });
}

/** Capacity that the fleet's workers had at most and do not announce now. */
export function missingCapacity(state: SchedulerState): Capacity {
  const missing: Capacity = { millicores: 0, megabytes: 0, accelerators: 0 };
  for (const { full, state: announced } of state.workers.values()) {
    for (const kind of kindsOf(full)) {
      missing[kind] += full[kind] - announced[kind];
    }
  }
  return missing;
}

function kindsOf(capacity: Capacity): (keyof Capacity)[] {
  return Object.keys(capacity) as (keyof Capacity)[];
}

function isEqual(a: Capacity, b: Capacity): boolean {
  return kindsOf(a).every((kind) => a[kind] === b[kind]);
}

function isShrunk(full: Capacity, now: Capacity): boolean {
  return kindsOf(full).some((kind) => now[kind] < full[kind]);
}
