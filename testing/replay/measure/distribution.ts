/**
 * Distributions of durations.
 *
 * @module
 */

import { build } from "hdr-histogram-js";
import type { Milliseconds } from "@dragonflyledge/model";

/** Summary of durations; 0 if there are none. */
export interface Distribution {
  count: number;
  mean: Milliseconds;
  p50: Milliseconds;
  p99: Milliseconds;
}

/** Values are recorded in hundredths of a millisecond. */
const SCALE = 100;

/** Summarises durations, with three significant digits. */
export function summarise(values: Iterable<Milliseconds>): Distribution {
  const histogram = build({
    lowestDiscernibleValue: 1,
    highestTrackableValue: 4_000_000 * SCALE,
    numberOfSignificantValueDigits: 3,
  });
  let count = 0;
  let sum = 0;
  for (const value of values) {
    histogram.recordValue(Math.max(0, Math.round(value * SCALE)));
    count++;
    sum += value;
  }
  if (count === 0) return { count, mean: 0, p50: 0, p99: 0 };
  const at = (share: number) => histogram.getValueAtPercentile(share) / SCALE;
  return { count, mean: sum / count, p50: at(50), p99: at(99) };
}
