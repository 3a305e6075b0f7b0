/**
 * Decides which pairs of kinds are kept apart.
 *
 * @module
 */

import type { Effect } from "./evidence.ts";
import { MAX_KINDS } from "./kinds.ts";

/**
 * Standard errors by which a slow-down must differ from none, by all evidence
 * together. With 48 kinds there are 2,304 pairs, and each is looked at every few
 * seconds.
 */
const MIN_CERTAINTY = 6;
/**
 * The same for the runs of each half of the workers alone. A few runs of one
 * worker that were slow for another reason are all in one half.
 */
const MIN_HALF_CERTAINTY = 3;
/** A pair is dropped when its certainty falls below this. */
const KEPT_CERTAINTY = 2.5;
/** Smallest share of the rate that is lost for a pair to be kept apart. */
const MIN_SLOWDOWN = 0.1;
/** Share of the rate below which a pair is dropped. */
const KEPT_SLOWDOWN = 0.05;
/** Runs during which the other kind came or went, and their workers. */
const MIN_RUNS = 30;
const MIN_WORKERS = 3;

/** A kind that is slowed down, and the kind beside it that does so. */
export interface Pair {
  kind: number;
  beside: number;
}

/** A pair as it was decided on, with the evidence for it. */
export interface PairChange extends Pair {
  apart: boolean;
  /** Share of its rate that the kind loses. */
  slowdown: number;
  /** Standard errors by which the effect differs from none. */
  certainty: number;
  runs: number;
  workers: number;
}

/** Effects of all kinds on one, by what shows them. */
export interface Effects {
  /** From changes within runs, for each half of the workers. */
  halves: Map<number, Effect>[];
  /** From siblings of the same step. */
  siblings: Map<number, Effect>;
}

/** Pairs of kinds, and what they were seen to do. */
export interface Pairs {
  /** Notes a run that was beside the other kind for a part of its time. */
  noteVaried(pair: Pair, agent: string): void;
  /** Decides on all pairs in which `kind` is slowed; returns the changes. */
  decide(kind: number, effects: Effects): PairChange[];
  /** Share of its rate that the kind loses; 0 unless they are kept apart. */
  slowdownOf(pair: Pair): number;
  /** Forgets the kind; returns the pairs that were kept apart. */
  clear(kind: number): void;
  /** Number of pairs that are kept apart. */
  readonly count: number;
}

/** Creates the pairs of a fleet of which nothing is known. */
export function createPairs(): Pairs {
  const slowdowns = new Float64Array(MAX_KINDS * MAX_KINDS);
  const runs = new Uint32Array(MAX_KINDS * MAX_KINDS);
  /** One bit for each of 32 groups of workers. */
  const workers = new Uint32Array(MAX_KINDS * MAX_KINDS);
  let count = 0;

  function set(at: number, slowdown: number): void {
    if (slowdowns[at]! > 0) count--;
    if (slowdown > 0) count++;
    slowdowns[at] = slowdown;
  }

  function decidePair(
    pair: Pair,
    effects: Effects,
  ): PairChange | undefined {
    const at = pair.kind * MAX_KINDS + pair.beside;
    const halves = effects.halves.map((each) => each.get(pair.beside));
    const joint = combine([...halves, effects.siblings.get(pair.beside)]);
    const slowdown = 1 - Math.exp(joint.effect);
    const certainty = certaintyOf(joint);
    const known = slowdowns[at]! > 0;
    const evidence = { runs: runs[at]!, workers: countBits(workers[at]!) };
    const apart = known
      ? certainty >= KEPT_CERTAINTY && slowdown >= KEPT_SLOWDOWN
      : certainty >= MIN_CERTAINTY &&
        halves.every((half) => certaintyOf(half) >= MIN_HALF_CERTAINTY) &&
        slowdown >= MIN_SLOWDOWN &&
        evidence.runs >= MIN_RUNS && evidence.workers >= MIN_WORKERS;
    set(at, apart ? slowdown : 0);
    if (apart === known) return undefined;
    if (known) {
      // It is kept apart again only on new runs.
      runs[at] = 0;
      workers[at] = 0;
    }
    return { ...pair, apart, slowdown, certainty, ...evidence };
  }

  return {
    noteVaried: ({ kind, beside }, agent) => {
      const at = kind * MAX_KINDS + beside;
      runs[at]!++;
      workers[at]! |= 1 << (hash(agent) & 31);
    },
    decide: (kind, effects) => {
      const changes: PairChange[] = [];
      const observed = effects.halves.flatMap((half) => [...half.keys()]);
      for (const beside of new Set(observed)) {
        const change = decidePair({ kind, beside }, effects);
        if (change) changes.push(change);
      }
      return changes;
    },
    slowdownOf: ({ kind, beside }) => slowdowns[kind * MAX_KINDS + beside]!,
    clear: (kind) => {
      for (let other = 0; other < MAX_KINDS; other++) {
        for (
          const at of [kind * MAX_KINDS + other, other * MAX_KINDS + kind]
        ) {
          set(at, 0);
          runs[at] = 0;
          workers[at] = 0;
        }
      }
    },
    get count() {
      return count;
    },
  };
}

/** Standard errors by which a slow-down differs from none. */
function certaintyOf(effect: Effect | undefined): number {
  return effect ? -effect.effect / effect.error : 0;
}

/** Mean of estimates, each weighted by its precision; at least one is known. */
function combine(estimates: (Effect | undefined)[]): Effect {
  let precision = 0;
  let sum = 0;
  for (const estimate of estimates) {
    if (!estimate) continue;
    precision += estimate.error ** -2;
    sum += estimate.effect * estimate.error ** -2;
  }
  return { effect: sum / precision, error: precision ** -0.5 };
}

function countBits(bits: number): number {
  let count = 0;
  for (let left = bits; left !== 0; left &= left - 1) count++;
  return count;
}

/** Number that stays the same for a text, and differs for most others. */
export function hash(text: string): number {
  let value = 0;
  for (let i = 0; i < text.length; i++) {
    value = (value * 31 + text.charCodeAt(i)) | 0;
  }
  return value ^ (value >>> 11);
}
