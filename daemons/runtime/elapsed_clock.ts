/**
 * Clock that also counts the time for which the machine was suspended.
 *
 * @module
 */

import type { Clock, Milliseconds } from "@dragonflyledge/model";

/**
 * A larger lead of the wall clock over the monotonic one, since they were last
 * read, is taken for a suspension.
 */
const MIN_SUSPENSION: Milliseconds = 100;

/** Clock whose monotonic time goes on while the machine is suspended. */
export interface ElapsedClock extends Clock {
  /** Total time of all suspensions so far. */
  suspended(): Milliseconds;
}

/**
 * Creates a clock from one that stands still while the machine is suspended.
 * It finds suspensions by the wall clock, so that it runs ahead if that is set
 * forward. It tells when this process's own permissions end, and must not be
 * used to wait for the end of those of others.
 */
export function createElapsedClock(clock: Clock): ElapsedClock {
  let total = 0;
  let steady = clock.now();
  let wall = clock.date().getTime();

  function suspended(): Milliseconds {
    const nextSteady = clock.now();
    const nextWall = clock.date().getTime();
    const lead = (nextWall - wall) - (nextSteady - steady);
    steady = nextSteady;
    wall = nextWall;
    if (lead > MIN_SUSPENSION) total += lead;
    return total;
  }

  return {
    now: () => suspended() + steady,
    date: () => clock.date(),
    suspended,
  };
}
