/**
 * Measures how one quantity grows with a size.
 *
 * @module
 */

import { fitLine } from "./fit_line.ts";
import type { Line } from "./fit_line.ts";

/** A quantity measured at several sizes. */
export interface Slope {
  name: string;
  unit: string;
  /** The size that is varied. */
  over: string;
  /** Sizes, and the value at each. */
  points: [number, number][];
  line: Line;
  /** Value at the largest size over the value at the smallest one. */
  ratio: number;
}

/** Measures a quantity at each size and fits a line. */
export function measureSlope(fields: {
  name: string;
  unit: string;
  over: string;
  sizes: readonly number[];
  measure: (size: number) => number;
}): Slope {
  const { name, unit, over, sizes, measure } = fields;
  const points = sizes.map((size): [number, number] => [size, measure(size)]);
  const ratio = points.at(-1)![1] / points[0]![1];
  return { name, unit, over, points, line: fitLine(points), ratio };
}
