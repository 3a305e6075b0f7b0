/**
 * Random draws of which plans are made.
 *
 * @module
 */

import type { Milliseconds, Random } from "@dragonflyledge/model";

/** Times about as long as a grant, after which agents are given up. */
const GRANT_TIMES = { shortest: 7000, longest: 11_000 };

/** Draws values; bounds are included. */
export interface Draw {
  whole(from: number, to: number): number;
  chance(probability: number): boolean;
  one<Value>(values: readonly Value[]): Value;
  /** A time whose order of magnitude is drawn first. */
  time(shortest: Milliseconds, longest: Milliseconds): Milliseconds;
  /** Any such time, or one about as long as a grant and a lease. */
  absence(shortest: Milliseconds): Milliseconds;
}

/** Creates draws from a source of random numbers. */
export function createDraw(random: Random): Draw {
  const whole = (from: number, to: number) =>
    from + Math.floor(random() * (to - from + 1));
  const time = (shortest: Milliseconds, longest: Milliseconds) =>
    Math.round(shortest * (longest / shortest) ** random());
  const { shortest: nearGrant, longest } = GRANT_TIMES;
  return {
    whole,
    chance: (probability) => random() < probability,
    one: (values) => values[whole(0, values.length - 1)]!,
    time,
    absence: (shortest) =>
      random() < 0.5 ? time(shortest, longest) : whole(nearGrant, longest),
  };
}
