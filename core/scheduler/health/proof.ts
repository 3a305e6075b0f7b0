/**
 * Tells when a run has gone on where others failed.
 *
 * Load pattern: workers fail their runs after a time that differs from fault to
 * fault, and list their runs each second.
 *
 * @module
 */

import { SECOND } from "@dragonflyledge/model";
import type { Milliseconds } from "@dragonflyledge/model";
import type { Run } from "../state.ts";

/**
 * A run works on where others failed if it has worked for longer than they did
 * by this factor and this time, which covers the interval between two lists.
 */
const PROOF_FACTOR = 1.25;
const PROOF_MARGIN: Milliseconds = 300;

/**
 * Longest time for which a worker or a step with a failed run takes no more than
 * one further run; most tasks take longer, so that a sound one loses little.
 */
const PACE: Milliseconds = SECOND;

/** Whether a run worked on where another one failed. */
export function isPast(
  worked: Milliseconds,
  failedAfter: Milliseconds,
): boolean {
  return worked > PROOF_FACTOR * failedAfter + PROOF_MARGIN;
}

/** When the run, or the last member of its gang, was first seen at work. */
export function beginOf(run: Run): Milliseconds {
  return run.assembledAt ?? run.startedAt;
}

/** Whether the run may soon fail after the same time as another one. */
export function isUnproven(
  run: Run,
  failedAfter: Milliseconds,
  now: Milliseconds,
): boolean {
  const until = Math.min(PACE, PROOF_FACTOR * failedAfter + PROOF_MARGIN);
  return !run.stopping && now - beginOf(run) < until;
}
