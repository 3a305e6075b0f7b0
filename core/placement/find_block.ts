/**
 * Aligned blocks of accelerators, as in a buddy allocator: a block is contiguous
 * and starts at a multiple of its size rounded up to a power of two.
 *
 * @module
 */

/** Returns the smallest power of two that is at least `size`. */
export function roundUpToPowerOfTwo(size: number): number {
  let power = 1;
  while (power < size) power *= 2;
  return power;
}

/** Whether the accelerators form one aligned block. */
export function isAlignedBlock(accelerators: readonly number[]): boolean {
  const sorted = [...accelerators].sort((a, b) => a - b);
  const first = sorted[0];
  if (first === undefined) return false;
  if (first % roundUpToPowerOfTwo(sorted.length) !== 0) return false;
  return sorted.every((accelerator, index) => accelerator === first + index);
}

/**
 * Returns the size of the largest usable aligned block around the block of
 * `size` at `start`, or `size` if there is no larger one. `size` must be a power
 * of two.
 */
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
 * Returns the first accelerator of the usable aligned block of `size` with the
 * lowest cost, or -1 if there is none. Among blocks of equal cost it takes the
 * one in the smallest enclosing usable block, so that large blocks stay whole
 * for large members. Without `cost`, all blocks cost the same.
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
    let allUsable = true;
    for (let index = start; index < start + size; index++) {
      if (!usable[index]) allUsable = false;
    }
    if (!allUsable) continue;
    const cost = fields.cost?.(start) ?? 0;
    const enclosing = enclosingBlockSize(usable, start, step);
    const isBetter = cost < best.cost ||
      (cost === best.cost && enclosing < best.enclosing);
    if (isBetter) best = { start, cost, enclosing };
  }
  return best.start;
}

/** Returns the indexes of the accelerators in a block. */
export function listBlock(start: number, size: number): number[] {
  return Array.from({ length: size }, (_, index) => start + index);
}
