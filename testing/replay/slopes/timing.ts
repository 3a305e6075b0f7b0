/**
 * Measures processor time and memory of operations.
 *
 * @module
 */

import process from "node:process";
import { setFlagsFromString } from "node:v8";
import { runInNewContext } from "node:vm";

/** Batches of calls of which the median time is taken. */
const BATCHES = 15;
/** Measurements of memory of which the median is taken. */
const MEMORY_TRIES = 5;
/** Copies in one measurement, so that the noise of the heap is small. */
const MEMORY_COPIES = 6;

/** Time of one call in microseconds: median over batches, after a warm-up. */
export function timeOf(calls: number, call: (index: number) => void): number {
  const times: number[] = [];
  let index = 0;
  for (let batch = 0; batch <= BATCHES; batch++) {
    const start = process.hrtime.bigint();
    for (let count = 0; count < calls; count++) call(index++);
    const time = Number(process.hrtime.bigint() - start) / 1000 / calls;
    if (batch > 0) times.push(time);
  }
  return times.sort((a, b) => a - b)[BATCHES >> 1]!;
}

/**
 * Bytes of heap that one result of `create` holds: median of some measurements,
 * after a call that has the code compiled.
 */
export function memoryOf(create: () => unknown): number {
  const collect = exposeGarbageCollector();
  create();
  const sizes = Array.from({ length: MEMORY_TRIES }, () => {
    collect();
    const before = process.memoryUsage().heapUsed;
    const kept = Array.from({ length: MEMORY_COPIES }, create);
    collect();
    const after = process.memoryUsage().heapUsed;
    return (after - before) / kept.length;
  });
  return sizes.sort((a, b) => a - b)[MEMORY_TRIES >> 1]!;
}

/** Frees all memory that is not referenced. */
export function collectGarbage(): void {
  exposeGarbageCollector()();
}

function exposeGarbageCollector(): () => void {
  setFlagsFromString("--expose-gc");
  return runInNewContext("gc");
}
