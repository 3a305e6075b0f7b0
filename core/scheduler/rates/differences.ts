/**
 * Tells whether the workers of a fleet differ by more than chance explains.
 *
 * Load pattern: a fleet of equal workers whose tasks differ. Acting on rates
 * there would only follow the noise, so that nothing may change.
 *
 * @module
 */

import { SECOND } from "@dragonflyledge/model";
import type { Milliseconds } from "@dragonflyledge/model";
import type { Belief } from "./unknowns.ts";

/**
 * Standard deviation of the logarithms of rates from which it matters where a
 * task runs. It is 0.18 for rates of 0.8, 1 and 1.25, and 0.08 for rates that
 * are spread evenly from 1.0 to 1.3.
 */
const RELEVANT_SD = 0.12;
/** Same for a fleet of which it is known that it matters. */
const NEGLIGIBLE_SD = 0.09;
/**
 * Excess of the differences over chance, in standard deviations of what chance
 * gives. The test is made several times a second for days.
 */
const SIGNIFICANCE = 6;
/**
 * Share of the workers, those that deviate most, that alone make no difference
 * at once: they may be slow for some seconds only.
 */
const OUTLIERS = 0.1;
/** Their difference counts once it has lasted this long. */
const OUTLIERS_WAIT: Milliseconds = 15 * SECOND;
/** Fewest workers to compare. */
const MIN_WORKERS = 3;

/** Test that follows what is known of the workers. */
export interface DifferenceTest {
  /** Outcome of the latest test. */
  readonly found: boolean;
  /** Tests what is known of each worker from evidence alone. */
  update(workers: Belief[], now: Milliseconds): void;
}

/** Creates a test that has found no difference. */
export function createDifferenceTest(): DifferenceTest {
  let found = false;
  /** Since when the workers differ, with the outliers. */
  let since: Milliseconds | undefined;

  function isFound(workers: Belief[], now: Milliseconds): boolean {
    const all = compare(workers);
    if (found) return all.deviation >= NEGLIGIBLE_SD;
    if (!isRelevant(all)) {
      since = undefined;
      return false;
    }
    since ??= now;
    return now - since >= OUTLIERS_WAIT ||
      isRelevant(compare(withoutOutliers(workers, all.centre)));
  }

  return {
    get found() {
      return found;
    },
    update: (workers, now) => {
      if (workers.length < MIN_WORKERS) return;
      found = isFound(workers, now);
    },
  };
}

/** How a number of workers differ. */
interface Comparison {
  /** Mean of all. */
  centre: number;
  /** Excess of their spread, in standard deviations of what chance gives. */
  excess: number;
  /** Standard deviation that chance does not explain. */
  deviation: number;
}

function isRelevant({ excess, deviation }: Comparison): boolean {
  return deviation >= RELEVANT_SD && excess >= SIGNIFICANCE;
}

function withoutOutliers(workers: Belief[], centre: number): Belief[] {
  const distance = ({ mean, variance }: Belief) =>
    (mean - centre) ** 2 / variance;
  return workers
    .toSorted((a, b) => distance(a) - distance(b))
    .slice(0, Math.floor(workers.length * (1 - OUTLIERS)));
}

/**
 * Compares the spread of the means with what their variances explain (Cochran's
 * Q), and estimates the spread that remains (DerSimonian and Laird).
 */
function compare(workers: Belief[]): Comparison {
  let sum = 0;
  let squares = 0;
  let weighted = 0;
  for (const { mean, variance } of workers) {
    sum += 1 / variance;
    squares += 1 / variance ** 2;
    weighted += mean / variance;
  }
  const centre = weighted / sum;
  let spread = 0;
  for (const { mean, variance } of workers) {
    spread += (mean - centre) ** 2 / variance;
  }
  const degrees = workers.length - 1;
  const remaining = (spread - degrees) / (sum - squares / sum);
  return {
    centre,
    excess: (spread - degrees) / Math.sqrt(2 * degrees),
    deviation: Math.sqrt(Math.max(0, remaining)),
  };
}
