/**
 * Observed run times.
 *
 * @module
 */

import type { JobSpec, Milliseconds } from "@dragonflyledge/model";
import type { Context } from "./context.ts";

const kindLimit = 1000;
/** Weight of the newest observation. */
const newestWeight = 0.3;
/** Work under this run time may backfill capacity that is being drained. */
const shortRunTime: Milliseconds = 30_000;

/** Jobs of one kind are expected to behave alike. */
export function workKind(spec: JobSpec): string {
  return `job\n${spec.team}\n${spec.class}\n${spec.command}`;
}

/** Takes the run time of a gang that succeeded. */
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

/** Observed run time, or the declared one before the first observation. */
export function expectedRunTime({ jobs }: Context, spec: JobSpec) {
  return jobs.runTimes.get(workKind(spec)) ?? spec.declaredRunTime;
}

/** Declared sizes are hints, so only observed work counts as short. */
export function isShort({ jobs }: Context, spec: JobSpec): boolean {
  const observed = jobs.runTimes.get(workKind(spec));
  return spec.declaredRunTime < shortRunTime && observed !== undefined &&
    observed < shortRunTime;
}
