/**
 * Gain of percent of one run, split by the kinds of tasks beside it.
 *
 * Load pattern: workers run several tasks, and what is beside a run changes
 * several times while it runs. The gains before and after a change are those of
 * the same task on the same worker, so that estimate, size and worker cancel.
 *
 * @module
 */

import type { Milliseconds } from "@dragonflyledge/model";
import type { SparseRow } from "./evidence.ts";

/**
 * Shortest time over which a rate is compared. Lists come every second, and
 * at once when a task ends; percents may be whole numbers.
 */
const BLOCK_TIME: Milliseconds = 800;

/**
 * A block whose rate differs by this factor from the run's usual one shows a
 * worker that is transiently slow, or in part so. Its neighbours are left out,
 * too, since the transient begins and ends within them.
 */
const TRANSIENT_FACTOR = 2.5;

/** Steps in which the share of time beside a kind is kept. */
const SHARE_STEPS = 4;

/** Gain within blocks of time that had the same kinds beside them. */
export interface Segment {
  row: SparseRow;
  /** Gain in percent. */
  gain: number;
  time: Milliseconds;
}

/** Gain over a short time, and the time that each kind was beside the run. */
interface Block {
  kinds: number[];
  times: Milliseconds[];
  gain: number;
  time: Milliseconds;
}

/** Gains of one run, from list to list. */
export interface RunGains {
  percent: number;
  /** The block that is not complete yet. */
  block: Block;
  blocks: Block[];
}

/**
 * Begins to follow a run that the worker lists with this progress, which is
 * above 0, so that the start of the run lies before.
 */
export function createRunGains(percent: number): RunGains {
  return { percent, block: createBlock(), blocks: [] };
}

/**
 * Adds the gain since the last list. `beside` holds the share of the time that
 * each kind was beside the run.
 */
export function addGain(
  run: RunGains,
  fields: { percent: number; time: Milliseconds; beside: SparseRow },
): void {
  const { block } = run;
  const { percent, time, beside } = fields;
  block.gain += percent - run.percent;
  block.time += time;
  run.percent = percent;
  for (let i = 0; i < beside.kinds.length; i++) {
    const at = block.kinds.indexOf(beside.kinds[i]!);
    const spent = beside.values[i]! * time;
    if (at >= 0) block.times[at]! += spent;
    else {
      block.kinds.push(beside.kinds[i]!);
      block.times.push(spent);
    }
  }
  if (block.time < BLOCK_TIME) return;
  run.blocks.push(block);
  run.block = createBlock();
}

/** Joins the blocks with equal kinds beside them, without transients. */
export function joinBlocks({ blocks }: RunGains): Segment[] {
  const segments = new Map<string, Segment>();
  for (const block of withoutTransients(blocks)) {
    const row = shareRow(block);
    const key = row.kinds.map((kind, index) => `${kind}:${row.values[index]}`)
      .sort().join();
    const segment = segments.get(key);
    if (segment) {
      segment.gain += block.gain;
      segment.time += block.time;
    } else segments.set(key, { row, gain: block.gain, time: block.time });
  }
  return [...segments.values()];
}

function withoutTransients(blocks: Block[]): Block[] {
  const rates = blocks.map(({ gain, time }) => gain / time);
  const usual = rates.toSorted((a, b) => a - b)[rates.length >> 1] ?? 0;
  const isTransient = (rate: number | undefined) =>
    rate !== undefined &&
    (rate * TRANSIENT_FACTOR < usual || rate > usual * TRANSIENT_FACTOR);
  return blocks.filter((_, index) =>
    rates[index]! > 0 &&
    ![rates[index - 1], rates[index], rates[index + 1]].some(isTransient)
  );
}

function shareRow(block: Block): SparseRow {
  const row: SparseRow = { kinds: [], values: [] };
  block.kinds.forEach((kind, index) => {
    const share = block.times[index]! / block.time;
    const rounded = Math.round(share * SHARE_STEPS) / SHARE_STEPS;
    if (rounded === 0) return;
    row.kinds.push(kind);
    row.values.push(rounded);
  });
  return row;
}

function createBlock(): Block {
  return { kinds: [], times: [], gain: 0, time: 0 };
}
