/**
 * Weighted least squares over the kinds of tasks beside the runs of one kind.
 *
 * An observation says by how much the logarithm of a rate differs from that of
 * the same run, or of the same step, and by how much the shares of time differ
 * that each other kind was beside it.
 *
 * @module
 */

import { MAX_KINDS } from "./kinds.ts";

/**
 * Standard deviation of effects that is assumed before anything is observed, in
 * logarithms of the rate. It keeps effects near 0 that nothing determines.
 */
const PRIOR_DEVIATION = 0.3;
const PRIOR_PRECISION = 1 / PRIOR_DEVIATION ** 2;

/** Values by the numbers of kinds. */
export interface SparseRow {
  kinds: number[];
  values: number[];
}

/** A deviation of a rate, and those of the shares of time beside each kind. */
export interface Observation {
  row: SparseRow;
  value: number;
  weight: number;
  freedom: number;
}

/** Effect of one kind on the logarithm of the rate, and its standard error. */
export interface Effect {
  effect: number;
  error: number;
}

/** Sums of the observations of one kind; all decay together. */
export interface Evidence {
  /**
   * Adds an observation; its weight is the inverse of its variance. `freedom` is
   * 1, less what the mean took of it that was subtracted.
   */
  add(observation: Observation): void;
  /** Multiplies the weight of all observations by the factor. */
  decay(factor: number): void;
  /** Forgets all that was observed beside the kind. */
  clear(kind: number): void;
  /** Effects of all kinds that were observed. */
  solve(): Map<number, Effect>;
}

/** Creates sums without observations. */
export function createEvidence(): Evidence {
  const products = new Float64Array(MAX_KINDS * MAX_KINDS);
  const sums = new Float64Array(MAX_KINDS);
  let squares = 0;
  let freedoms = 0;

  function listObserved(): number[] {
    const observed: number[] = [];
    for (let kind = 0; kind < MAX_KINDS; kind++) {
      if (products[kind * MAX_KINDS + kind]! > 0) observed.push(kind);
    }
    return observed;
  }

  return {
    add: ({ row: { kinds, values }, value, weight, freedom }) => {
      for (let i = 0; i < kinds.length; i++) {
        const row = kinds[i]! * MAX_KINDS;
        const scaled = weight * values[i]!;
        sums[kinds[i]!]! += scaled * value;
        for (let j = 0; j < kinds.length; j++) {
          products[row + kinds[j]!]! += scaled * values[j]!;
        }
      }
      squares += weight * value * value;
      freedoms += freedom;
    },
    decay: (factor) => {
      for (let i = 0; i < products.length; i++) products[i]! *= factor;
      for (let i = 0; i < sums.length; i++) sums[i]! *= factor;
      squares *= factor;
      freedoms *= factor;
    },
    clear: (kind) => {
      for (let other = 0; other < MAX_KINDS; other++) {
        products[kind * MAX_KINDS + other] = 0;
        products[other * MAX_KINDS + kind] = 0;
      }
      sums[kind] = 0;
    },
    solve: () => {
      const observed = listObserved();
      const matrix = observed.map((row) =>
        observed.map((column) => products[row * MAX_KINDS + column]!)
      );
      observed.forEach((_, index) => matrix[index]![index]! += PRIOR_PRECISION);
      const inverse = invert(matrix);
      const effects = inverse.map((row) =>
        row.reduce(
          (sum, each, index) => sum + each * sums[observed[index]!]!,
          0,
        )
      );
      const explained = effects.reduce(
        (sum, effect, index) => sum + effect * sums[observed[index]!]!,
        0,
      );
      // More noise than assumed widens the errors; less does not narrow them.
      const freedom = Math.max(1, freedoms - observed.length);
      const noise = Math.max(1, (squares - explained) / freedom);
      return new Map(observed.map((kind, index) => [kind, {
        effect: effects[index]!,
        error: Math.sqrt(noise * inverse[index]![index]!),
      }]));
    },
  };
}

/** Inverts a symmetric positive definite matrix, which it overwrites. */
function invert(matrix: number[][]): number[][] {
  const size = matrix.length;
  const inverse = matrix.map((_, row) =>
    Array.from({ length: size }, (_, column) => row === column ? 1 : 0)
  );
  for (let pivot = 0; pivot < size; pivot++) {
    const scale = 1 / matrix[pivot]![pivot]!;
    for (let column = 0; column < size; column++) {
      matrix[pivot]![column]! *= scale;
      inverse[pivot]![column]! *= scale;
    }
    for (let row = 0; row < size; row++) {
      if (row === pivot) continue;
      const factor = matrix[row]![pivot]!;
      if (factor === 0) continue;
      for (let column = 0; column < size; column++) {
        matrix[row]![column]! -= factor * matrix[pivot]![column]!;
        inverse[row]![column]! -= factor * inverse[pivot]![column]!;
      }
    }
  }
  return inverse;
}
