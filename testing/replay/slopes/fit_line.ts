/**
 * Fits lines by least squares.
 *
 * @module
 */

/** A line through measured points. */
export interface Line {
  slope: number;
  intercept: number;
  /** Standard error of the slope. */
  slopeError: number;
  /** Largest distance of a point from the line. */
  worst: number;
}

/** Fits a line by least squares. At least three points are needed. */
export function fitLine(points: readonly (readonly [number, number])[]): Line {
  const count = points.length;
  if (count < 3) throw new Error(`a fit needs three points, not ${count}`);
  const meanX = points.reduce((sum, [x]) => sum + x, 0) / count;
  const meanY = points.reduce((sum, [, y]) => sum + y, 0) / count;
  let xx = 0;
  let xy = 0;
  for (const [x, y] of points) {
    xx += (x - meanX) ** 2;
    xy += (x - meanX) * (y - meanY);
  }
  const slope = xy / xx;
  const intercept = meanY - slope * meanX;
  const residuals = points.map(([x, y]) => y - intercept - slope * x);
  const squares = residuals.reduce((sum, each) => sum + each ** 2, 0);
  return {
    slope,
    intercept,
    slopeError: Math.sqrt(squares / (count - 2) / xx),
    worst: Math.max(...residuals.map(Math.abs)),
  };
}
