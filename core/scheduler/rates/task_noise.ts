/**
 * By how much the tasks of one step differ on one worker.
 *
 * @module
 */

import type { Belief } from "./unknowns.ts";

/** Standard deviation of the logarithm of rates of tasks, before evidence. */
const TASK_SD = { single: 0.3, gang: 0.2 };
/** Weight of `TASK_SD`, in samples, against the differences that are seen. */
const TASK_SD_WEIGHT = 20;

/** Whether tasks are single ones or members of a gang. */
export type TaskKind = keyof typeof TASK_SD;

/** Logarithm of a gain per second, and what measuring adds. */
export interface Measurement {
  value: number;
  /** Variance of `value` due to rounding and timing. */
  variance: number;
}

/** Squared differences between tasks of one step on one worker. */
export interface Spread {
  squares: number;
  degrees: number;
}

/** Spread of a single sample. */
export const NO_SPREAD: Spread = { squares: 0, degrees: 0 };

/** Learns the variance between tasks of one step on one worker. */
export interface TaskNoise {
  /** Combines the samples of one step on one worker to their mean. */
  summarize(kind: TaskKind, samples: Measurement[]): Belief;
  /** Replaces the spread of a step on a worker; returns the new one. */
  update(kind: TaskKind, before: Spread, samples: Measurement[]): Spread;
  /** Multiplies the weight of all that was seen by the factor. */
  decay(factor: number): void;
}

/** Creates the variances that are assumed before any sample. */
export function createTaskNoise(): TaskNoise {
  const spreads: Record<TaskKind, Spread> = {
    single: { squares: 0, degrees: 0 },
    gang: { squares: 0, degrees: 0 },
  };
  const variances = { single: TASK_SD.single ** 2, gang: TASK_SD.gang ** 2 };

  return {
    summarize: (kind, samples) => summarize(samples, variances[kind]),
    update: (kind, before, samples) => {
      const spread = spreadOf(samples);
      const total = spreads[kind];
      total.squares += spread.squares - before.squares;
      total.degrees += spread.degrees - before.degrees;
      return spread;
    },
    decay: (factor) => {
      for (const kind of ["single", "gang"] as const) {
        const spread = spreads[kind];
        spread.squares *= factor;
        spread.degrees *= factor;
        variances[kind] = varianceFrom(kind, spread);
      }
    },
  };
}

/** Combines samples to their mean, which has a variance. */
function summarize(samples: Measurement[], noise: number): Belief {
  let precision = 0;
  let weighted = 0;
  for (const { value, variance } of samples) {
    const weight = 1 / (noise + variance);
    precision += weight;
    weighted += weight * value;
  }
  return { mean: weighted / precision, variance: 1 / precision };
}

/** Variance between tasks of a step, from what is seen and before that. */
function varianceFrom(kind: TaskKind, { squares, degrees }: Spread): number {
  return (TASK_SD_WEIGHT * TASK_SD[kind] ** 2 + Math.max(0, squares)) /
    (TASK_SD_WEIGHT + Math.max(0, degrees));
}

/** How much the samples differ, beyond what measuring explains. */
function spreadOf(samples: Measurement[]): Spread {
  if (samples.length < 2) return NO_SPREAD;
  let sum = 0;
  let measured = 0;
  for (const { value, variance } of samples) {
    sum += value;
    measured += variance;
  }
  const mean = sum / samples.length;
  let squares = 0;
  for (const { value } of samples) squares += (value - mean) ** 2;
  const degrees = samples.length - 1;
  const explained = measured / samples.length * degrees;
  return { squares: Math.max(0, squares - explained), degrees };
}
