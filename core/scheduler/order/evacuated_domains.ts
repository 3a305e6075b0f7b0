/**
 * Evacuation of failure domains at the operator's request.
 *
 * Load pattern: a quarter or a third of all workers takes nothing more from one
 * moment to the next, while jobs arrive as before, and takes tasks again some
 * time later. Tasks that run there go on, since stopping them only discards
 * work. Starts that no worker has confirmed are withdrawn with their whole
 * gang, so that nothing begins there later.
 *
 * @module
 */

import type { SchedulerState, Worker } from "../state.ts";
import { withdrawStarts } from "./capacity.ts";

/** Whether nothing more is started on the worker, since its domain empties. */
export function isEvacuated(state: SchedulerState, worker: Worker): boolean {
  const { failureDomain } = worker.state;
  return failureDomain !== undefined &&
    state.policies.evacuated.has(failureDomain);
}

/** Logs which evacuations began and ended, and withdraws open starts. */
export function noteEvacuations(
  state: SchedulerState,
  before: ReadonlySet<string>,
): void {
  const { evacuated } = state.policies;
  for (const domain of before) {
    if (!evacuated.has(domain)) log(state, domain, "Evacuation ended.");
  }
  for (const domain of evacuated) {
    if (!before.has(domain)) log(state, domain, "Evacuation begun.");
  }
  for (const worker of state.workers.values()) {
    withdrawFromDomain(state, worker);
  }
}

/**
 * Withdraws the unconfirmed starts of a worker whose domain is evacuated. Before
 * the worker has listed its runs to this leader, a start may be at work already.
 */
export function withdrawFromDomain(
  state: SchedulerState,
  worker: Worker,
): void {
  if (!worker.listed || !isEvacuated(state, worker)) return;
  for (const run of [...worker.runs]) {
    if (run.confirmed || run.stopping) continue;
    withdrawStarts(state, run, "Starts withdrawn from an evacuated domain.");
  }
}

function log(state: SchedulerState, domain: string, text: string): void {
  let workers = 0;
  let runs = 0;
  for (const worker of state.workers.values()) {
    if (worker.state.failureDomain !== domain) continue;
    workers++;
    runs += worker.runs.size;
  }
  state.effects.push({
    kind: "log",
    level: "warn",
    text,
    fields: { domain, workers, runs },
  });
}
