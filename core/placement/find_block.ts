/**
 * Aligned blocks of accelerators, as in a buddy allocator.
 *
 * @module
 */

/** Smallest power of two that is at least `size`. */
export function roundUpToPowerOfTwo(size: number): number {
  let power = 1;
  while (power < size) power *= 2;
  return power;
}

/** Whether the accelerators are contiguous and aligned to their number. */
export function isAlignedBlock(accelerators: readonly number[]): boolean {
  const sorted = [...accelerators].sort((a, b) => a - b);
  const first = sorted[0];
  if (first === undefined) return false;
  if (first % roundUpToPowerOfTwo(sorted.length) !== 0) return false;
  return sorted.every((accelerator, index) => accelerator === first + index);
}

/** Size of the largest aligned usable block around `start`. */
function enclosingBlockSize(
  usable: readonly boolean[],
  start: number,
  size: number,
): number {
  let enclosing = size;
  for (let next = size * 2; next <= usable.length; next *= 2) {
    const first = start - start % next;
    if (first + next > usable.length) break;
    for (let index = first; index < first + next; index++) {
      if (!usable[index]) return enclosing;
    }
    enclosing = next;
  }
  return enclosing;
}

/**
 * Returns the first accelerator of the cheapest aligned block of `size`, or
 * -1. Of blocks of equal cost, the one in the smallest larger free block wins,
 * which keeps large blocks whole.
 */
export function findBlockStart(fields: {
  usable: readonly boolean[];
  size: number;
  cost?: (start: number) => number;
}): number {
  const { usable, size } = fields;
  const step = roundUpToPowerOfTwo(size);
  let best = { start: -1, cost: Infinity, enclosing: Infinity };
  for (let start = 0; start + size <= usable.length; start += step) {
    let whole = true;
    for (let index = start; index < start + size; index++) {
      if (!usable[index]) whole = false;
    }
    if (!whole) continue;
    const cost = fields.cost?.(start) ?? 0;
    const enclosing = enclosingBlockSize(usable, start, step);
    const better = cost < best.cost ||
      (cost === best.cost && enclosing < best.enclosing);
    if (better) best = { start, cost, enclosing };
  }
  return best.start;
}

/** Accelerators of a block. */
export function listBlock(start: number, size: number): number[] {
  return Array.from({ length: size }, (_, index) => start + index);
}
