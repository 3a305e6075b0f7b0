/**
 * Observations that a run adds to the evidence of its kind.
 *
 * @module
 */

import { SECOND } from "@dragonflyledge/model";
import type { Milliseconds } from "@dragonflyledge/model";
import type { Belief } from "../rates/unknowns.ts";
import type { Evidence, SparseRow } from "./evidence.ts";
import { MAX_KINDS } from "./kinds.ts";
import type { Segment } from "./run_gains.ts";

/** Noise of a rate, as a share, that does not depend on the time observed. */
const RATE_NOISE = 0.04;
/** Uncertainty of the time between two lists. */
const TIME_NOISE: Milliseconds = 100;
/** Uncertainty of a gain; workers may round the percents that they list. */
const GAIN_NOISE = 0.6;
/** Deviations, in logarithms, beyond which a segment counts no more. */
const MAX_DEVIATION = 0.5;
/** Deviation of the work of a step's tasks, in logarithms. */
const TASK_DEVIATION = 0.25;
/** Sums of shares that cancel leave an error of this size at most. */
const ROUNDING = 1e-6;
/** Steps of which siblings are compared at the same time. */
const MAX_STEPS = 2000;

/** Mean of the runs of one step that have ended. */
interface StepMean {
  count: number;
  value: number;
  shares: Map<number, number>;
}

/** Means of steps, the latest last. */
export type StepMeans = Map<string, StepMean>;

/** What a run that has ended showed on average. */
export interface RunMean {
  /** Logarithm of its rate in percent a second. */
  value: number;
  row: SparseRow;
}

/**
 * Adds the differences between the segments of one run. Returns the kinds that
 * were beside it for a part of the time only.
 */
export function addWithinRun(
  evidence: Evidence,
  segments: Segment[],
): number[] {
  const points = segments.filter(({ gain }) => gain > 0).map(toPoint);
  if (points.length < 2) return [];
  const kinds = [...new Set(points.flatMap(({ row }) => row.kinds))];
  const mean = meanOf(points);
  const varied = new Set<number>();
  const shares = new Float64Array(MAX_KINDS);
  for (const { row, value, weight } of points) {
    shares.fill(0);
    for (let i = 0; i < row.kinds.length; i++) {
      shares[row.kinds[i]!] = row.values[i]!;
    }
    const values = kinds.map((kind) => shares[kind]! - mean.shares[kind]!);
    for (let i = 0; i < kinds.length; i++) {
      if (Math.abs(values[i]!) > ROUNDING) varied.add(kinds[i]!);
    }
    evidence.add({
      row: { kinds, values },
      value: clip(value - mean.value),
      weight,
      freedom: 1 - 1 / points.length,
    });
  }
  return [...varied];
}

/** Returns the mean rate of a run, or undefined if it showed none. */
export function meanOfRun(segments: Segment[]): RunMean | undefined {
  const usable = segments.filter(({ gain }) => gain > 0);
  const time = usable.reduce((sum, each) => sum + each.time, 0);
  const gain = usable.reduce((sum, each) => sum + each.gain, 0);
  if (time < SECOND) return undefined;
  const shares = new Map<number, number>();
  for (const each of usable) {
    addShares(shares, each.row, each.time / time);
  }
  return { value: Math.log(gain * SECOND / time), row: toRow(shares) };
}

/**
 * Adds the difference between a run and the mean of its step's earlier ones,
 * once the rates of their workers are taken out.
 */
export function addAmongSiblings(
  evidence: Evidence,
  fields: {
    means: StepMeans;
    step: string;
    run: RunMean;
    rate: Belief;
  },
): void {
  const { means, step, run, rate } = fields;
  const value = run.value - rate.mean;
  const mean = means.get(step) ?? { count: 0, value: 0, shares: new Map() };
  if (mean.count > 0) {
    const variance = TASK_DEVIATION ** 2 + rate.variance;
    // Summed up, these are the differences from the mean of all siblings.
    const weight = mean.count / (mean.count + 1) / variance;
    const row = difference(run.row, mean.shares);
    evidence.add({
      row,
      value: clip(value - mean.value),
      weight,
      freedom: 1,
    });
  }
  mean.count++;
  mean.value += (value - mean.value) / mean.count;
  for (const [kind, share] of mean.shares) {
    mean.shares.set(kind, share * (1 - 1 / mean.count));
  }
  addShares(mean.shares, run.row, 1 / mean.count);
  means.delete(step);
  means.set(step, mean);
  if (means.size > MAX_STEPS) means.delete(means.keys().next().value!);
}

interface Point {
  row: SparseRow;
  value: number;
  weight: number;
}

function toPoint({ row, gain, time }: Segment): Point {
  const variance = RATE_NOISE ** 2 + (TIME_NOISE / time) ** 2 +
    (GAIN_NOISE / gain) ** 2;
  return { row, value: Math.log(gain * SECOND / time), weight: 1 / variance };
}

function meanOf(points: Point[]) {
  const total = points.reduce((sum, { weight }) => sum + weight, 0);
  const shares = new Float64Array(MAX_KINDS);
  let value = 0;
  for (const { row, value: each, weight } of points) {
    value += each * weight / total;
    for (let i = 0; i < row.kinds.length; i++) {
      shares[row.kinds[i]!]! += row.values[i]! * weight / total;
    }
  }
  return { value, shares };
}

function addShares(
  shares: Map<number, number>,
  { kinds, values }: SparseRow,
  factor: number,
): void {
  kinds.forEach((kind, index) =>
    shares.set(kind, (shares.get(kind) ?? 0) + factor * values[index]!)
  );
}

/** Returns the row minus the shares. */
function difference(row: SparseRow, shares: Map<number, number>): SparseRow {
  const result = new Map<number, number>();
  for (const [kind, share] of shares) result.set(kind, -share);
  addShares(result, row, 1);
  return toRow(result);
}

function toRow(shares: Map<number, number>): SparseRow {
  const row: SparseRow = { kinds: [], values: [] };
  for (const [kind, share] of shares) {
    if (Math.abs(share) < ROUNDING) continue;
    row.kinds.push(kind);
    row.values.push(share);
  }
  return row;
}

function clip(deviation: number): number {
  return Math.max(-MAX_DEVIATION, Math.min(MAX_DEVIATION, deviation));
}
