/**
 * Estimates of run times from observed runs.
 *
 * @module
 */

import type { JobSpec, Milliseconds } from "@dragonflyledge/model";
import type { Context } from "./context.ts";

/** Number of kinds of work that are remembered, the latest observed ones. */
const kindLimit = 1000;
/** Weight of the newest observation in the moving average. */
const newestWeight = 0.3;
/** Work with a shorter run time may run on workers that are held. */
const shortRunTime: Milliseconds = 30_000;

/**
 * Returns the key of a kind of work. Jobs of one kind are expected to have
 * similar run times, and to fail or succeed alike.
 */
export function workKind(spec: JobSpec): string {
  return `job\n${spec.team}\n${spec.class}\n${spec.command}`;
}

/** Records the run time of a gang that succeeded. */
export function observeRunTime(
  { jobs }: Context,
  spec: JobSpec,
  time: Milliseconds,
): void {
  const kind = workKind(spec);
  const former = jobs.runTimes.get(kind);
  const next = former === undefined
    ? time
    : former + newestWeight * (time - former);
  jobs.runTimes.delete(kind);
  jobs.runTimes.set(kind, next);
  for (const oldest of jobs.runTimes.keys()) {
    if (jobs.runTimes.size <= kindLimit) return;
    jobs.runTimes.delete(oldest);
  }
}

/**
 * Returns the average of the observed run times, or the declared run time
 * before the first observation.
 */
export function expectedRunTime({ jobs }: Context, spec: JobSpec) {
  return jobs.runTimes.get(workKind(spec)) ?? spec.declaredRunTime;
}

/**
 * Whether work is short enough to run on held workers. Declared run times are
 * hints, so an observed one must be short as well.
 */
export function isShort({ jobs }: Context, spec: JobSpec): boolean {
  const observed = jobs.runTimes.get(workKind(spec));
  return spec.declaredRunTime < shortRunTime && observed !== undefined &&
    observed < shortRunTime;
}
