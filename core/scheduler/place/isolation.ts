/**
 * Keeps other tasks off the workers of suspects, on a part of the workers and
 * for a bounded time.
 *
 * Load pattern: a worker crashes twice under tasks that take hours. Each of them
 * is a suspect then and starts on a worker of its own, as many as there are
 * workers, and other tasks wait for them.
 *
 * @module
 */

import { SECOND } from "@dragonflyledge/model";
import type { Milliseconds } from "@dragonflyledge/model";
import { attributableCrashes } from "../job.ts";
import { endIsolation, findTask, tasksOf } from "../runs.ts";
import type { Run, SchedulerState, Worker } from "../state.ts";
import { hasOutlived, Isolation } from "./suspects.ts";

/** Largest share of a service's workers that suspects of late crashes close. */
const MAX_CLOSED_SHARE = 0.5;
/**
 * Tasks that have waited this long join a suspect that has kept its worker for
 * as long, if they have no room elsewhere.
 */
const JOIN_WAIT: Milliseconds = 2 * SECOND;
/** Same wait for urgent tasks, which must start within a bounded time. */
const URGENT_JOIN_WAIT: Milliseconds = SECOND;

/** Why a suspect does not keep others off its worker any more, as it is logged. */
const IsolationEnd = {
  Outlived: "outlived the crashes",
  Share: "too many workers are closed",
} as const;
type IsolationEnd = typeof IsolationEnd[keyof typeof IsolationEnd];

/** Whether a run on the worker keeps off a new task. */
export function isClosed(worker: Worker, urgent: boolean): boolean {
  if (worker.isolatedRuns === 0) return false;
  for (const run of worker.runs) {
    if (run.isolation === Isolation.None) continue;
    const open = run.settled &&
      (run.isolation === Isolation.Start || urgent);
    if (!open) return true;
  }
  return false;
}

/** Wait of a task without room elsewhere before it joins a suspect. */
export function joinWait(urgent: boolean): Milliseconds {
  return urgent ? URGENT_JOIN_WAIT : JOIN_WAIT;
}

/** Whether tasks that have waited may join the suspects on the worker. */
export function isJoinable(
  worker: Worker,
  urgent: boolean,
  now: Milliseconds,
): boolean {
  for (const run of worker.runs) {
    if (run.isolation === Isolation.None) continue;
    if (now - run.startedAt < joinWait(urgent)) return false;
  }
  return true;
}

/** Number of workers off which others than urgent tasks are kept. */
export function countClosed(state: SchedulerState): number {
  let count = 0;
  for (const worker of state.workers.values()) {
    if (isClosed(worker, false)) count++;
  }
  return count;
}

/**
 * Ends the isolation of runs that have worked for clearly longer than their
 * tasks had at any crash, and of those beyond the share that may be closed.
 */
export function reviewIsolation(
  state: SchedulerState,
  now: Milliseconds,
): void {
  const closed = new Map<string, Run[]>();
  const sizes = new Map<string, number>();
  for (const worker of state.workers.values()) {
    const { service } = worker.state;
    sizes.set(service, (sizes.get(service) ?? 0) + 1);
    if (worker.isolatedRuns === 0) continue;
    for (const run of [...worker.runs]) {
      if (run.isolation !== Isolation.Whole || !run.settled) continue;
      if (isOutlived(run)) {
        finishIsolation(state, run, IsolationEnd.Outlived, now);
      } else closed.set(service, [...closed.get(service) ?? [], run]);
    }
  }
  for (const [service, runs] of closed) {
    const limit = Math.floor(MAX_CLOSED_SHARE * sizes.get(service)!);
    limitClosed({ state, runs, limit, now });
  }
}

/** Whether the run has worked for longer than at each crash under its tasks. */
function isOutlived(run: Run): boolean {
  if (run.assembledAt === undefined) return false;
  const workedFor = run.progressAt - run.assembledAt;
  return tasksOf(run.job, run.task)
    .every(({ crashes }) => hasOutlived(crashes, workedFor));
}

/** Opens workers until `limit` are left, those of the least suspects first. */
function limitClosed({ state, runs, limit, now }: {
  state: SchedulerState;
  runs: Run[];
  limit: number;
  now: Milliseconds;
}): void {
  const workers = new Set<string>();
  const suspicion = ({ job, task }: Run) => {
    const crashes = findTask(job, task)?.crashes;
    return crashes ? attributableCrashes(crashes) : 0;
  };
  const mostSuspect = runs.toSorted((a, b) =>
    suspicion(b) - suspicion(a) || b.startedAt - a.startedAt ||
    (a.name < b.name ? -1 : 1)
  );
  for (const run of mostSuspect) {
    if (!workers.has(run.worker) && workers.size >= limit) {
      finishIsolation(state, run, IsolationEnd.Share, now);
    } else workers.add(run.worker);
  }
}

function finishIsolation(
  state: SchedulerState,
  run: Run,
  reason: IsolationEnd,
  now: Milliseconds,
): void {
  endIsolation(state, run);
  state.effects.push({
    kind: "log",
    level: "info",
    text: "Isolation of a suspect ended.",
    fields: {
      job: run.job.request.id,
      task: run.name,
      run: run.run,
      worker: run.worker,
      reason,
      lasted: Math.round(now - run.startedAt),
    },
  });
}
