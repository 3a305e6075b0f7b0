/**
 * Interfaces through which time, timers and randomness are passed into code, so
 * that tests and simulations can control them.
 *
 * @module
 */

/** A point in time or a duration, in milliseconds. */
export type Milliseconds = number;

/** Source of the current time. Reducers take the time from their events. */
export interface Clock {
  /** Monotonic time in milliseconds. */
  now(): Milliseconds;
  /** Wall-clock time, used only in records that people read. */
  date(): Date;
}

/** Starts timers. Reducers do not use it; they get `tick` events instead. */
export interface Timer {
  /** Calls `task` once after `delay` and returns a function that cancels it. */
  after(delay: Milliseconds, task: () => void): () => void;
}

/** Resolves after the delay. */
export function sleep(
  fields: { timer: Timer; delay: Milliseconds },
): Promise<void> {
  return new Promise((resolve) => {
    fields.timer.after(fields.delay, resolve);
  });
}

/** Source of uniform random numbers in [0, 1). */
export type Random = () => number;

/**
 * Returns a small deterministic generator (mulberry32) for jitter and tests.
 *
 * @param seed any 32-bit integer
 */
export function createRandom(seed: number): Random {
  let state = seed >>> 0;
  return () => {
    state = (state + 0x6d2b79f5) >>> 0;
    let mixed = Math.imul(state ^ (state >>> 15), state | 1);
    mixed ^= mixed + Math.imul(mixed ^ (mixed >>> 7), mixed | 61);
    return ((mixed ^ (mixed >>> 14)) >>> 0) / 4294967296;
  };
}
