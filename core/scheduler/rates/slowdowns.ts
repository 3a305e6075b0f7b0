/**
 * Tells workers that are slow for some seconds from those that are always slow.
 *
 * Load pattern: a worker runs all its tasks five to six times slower for about
 * six seconds. Its runs are compared with their own progress before, which does
 * not depend on how large the tasks are.
 *
 * @module
 */

import { SECOND } from "@dragonflyledge/model";
import type { Milliseconds } from "@dragonflyledge/model";
import type { Run, Worker } from "../state.ts";
import { speedOf } from "./progress_samples.ts";
import type { Interval, Samples } from "./progress_samples.ts";
import type { RateModel } from "./rate_model.ts";
import type { ListedProgress } from "./rate_estimator.ts";

/** Share of the expected progress below which a worker is slowed down. */
const SLOWED = 0.4;
/** Share from which it is no longer slowed down. */
const RECOVERED = 0.65;
/** Share from which the time before was a slow-down that nothing had shown. */
const SPED_UP = 2.5;
/** Expected percent, over all runs of a worker, that suffice to judge. */
const MIN_EXPECTED = 4;
/** Progress over a shorter time is judged together with the next. */
const MIN_SPAN: Milliseconds = 600;
/** Variance up to which the model tells what progress a run makes. */
const KNOWN_VARIANCE = 0.3 ** 2;
/** A slow-down that no progress shows any more is forgotten after this time. */
const EVIDENCE_LIFE: Milliseconds = 3 * SECOND;
/** A slow-down that lasts longer is not transient. */
const TRANSIENT_LIMIT: Milliseconds = 10 * SECOND;

/** Progress of a worker's runs since it was last judged. */
interface Window {
  expected: number;
  actual: number;
  span: Milliseconds;
  runs: Set<Run>;
}

interface Slowdown {
  /** Share of the expected progress that is left. */
  factor: number;
  /** Runs that have shown it. */
  runs: Set<Run>;
  since: Milliseconds;
  seenAt: Milliseconds;
}

/** Workers that are slow at present. */
export interface Slowdowns {
  /**
   * Judges a worker by the progress of its runs. Returns whether the progress
   * shows the persistent rate.
   */
  judge(progress: ListedProgress, intervals: Interval[]): boolean;
  /** Share of its persistent rate at which the worker runs now. */
  factorOf(agent: string): number;
  /** Forgets slow-downs that no progress shows any more. */
  expire(now: Milliseconds): void;
  forget(agent: string): void;
}

/** Creates the slow-downs of workers that run as always. */
export function createSlowdowns(
  fields: { model: RateModel; samples: Samples },
): Slowdowns {
  const { model, samples } = fields;
  const windows = new Map<string, Window>();
  const slowed = new Map<string, Slowdown>();
  /** The latest run of each worker that alone went on being slow. */
  const stalled = new Map<string, Run>();

  /** Expected gain of the run in percent a second. */
  function expectedSpeed({ track }: Interval): number | undefined {
    const own = speedOf(track);
    if (own !== undefined || track.remote) return own;
    const { step, agent } = track.run;
    const expected = model.expect(step, agent);
    if (!expected || expected.variance > KNOWN_VARIANCE) return undefined;
    return Math.exp(expected.mean);
  }

  /** Adds the intervals to the window; returns it once it suffices to judge. */
  function extend(agent: string, intervals: Interval[]): Window | undefined {
    const window = windows.get(agent) ??
      { expected: 0, actual: 0, span: 0, runs: new Set() };
    windows.set(agent, window);
    let longest = 0;
    for (const interval of intervals) {
      const speed = expectedSpeed(interval);
      if (speed === undefined) continue;
      window.expected += speed * interval.span / SECOND;
      window.actual += interval.percent;
      window.runs.add(interval.track.run);
      longest = Math.max(longest, interval.span);
    }
    window.span += longest;
    const most = Math.max(window.expected, window.actual);
    if (most < MIN_EXPECTED || window.span < MIN_SPAN) return;
    windows.delete(agent);
    return window;
  }

  /** The former rate was that of a slow-down; the runs are measured anew. */
  function restart(worker: Worker): void {
    samples.restart(worker);
    model.dropSamples(worker.agent);
    windows.delete(worker.agent);
    slowed.delete(worker.agent);
    stalled.delete(worker.agent);
  }

  /** Decides whether it is the worker or its only run that stays slow. */
  function endTransient({ agent }: Worker, { runs }: Slowdown): boolean {
    const [run] = runs;
    const before = stalled.get(agent);
    if (runs.size !== 1 || (before && before !== run)) return true;
    stalled.set(agent, run!);
    samples.ignore(run!);
    slowed.delete(agent);
    return false;
  }

  function judgeSlowed(
    worker: Worker,
    slowdown: Slowdown,
    window: Window,
    now: Milliseconds,
  ): boolean {
    const share = shareOf(window);
    if (share >= RECOVERED) {
      slowed.delete(worker.agent);
      // Part of the interval was still slow.
      return share >= 1;
    }
    slowdown.seenAt = now;
    slowdown.factor = share;
    for (const run of window.runs) slowdown.runs.add(run);
    if (now - slowdown.since < TRANSIENT_LIMIT) return false;
    if (!endTransient(worker, slowdown)) return false;
    model.discountPast(worker.agent);
    restart(worker);
    return false;
  }

  return {
    judge: ({ worker, now }, intervals) => {
      const { agent } = worker;
      const slowdown = slowed.get(agent);
      const window = extend(agent, intervals);
      if (!window) return slowdown === undefined;
      if (slowdown) return judgeSlowed(worker, slowdown, window, now);
      const share = shareOf(window);
      if (share >= SPED_UP) {
        restart(worker);
        return false;
      }
      if (share >= SLOWED) return true;
      const { runs } = window;
      slowed.set(agent, { factor: share, runs, since: now, seenAt: now });
      return false;
    },
    factorOf: (agent) => slowed.get(agent)?.factor ?? 1,
    expire: (now) => {
      for (const [agent, { seenAt }] of slowed) {
        if (now - seenAt >= EVIDENCE_LIFE) slowed.delete(agent);
      }
    },
    forget: (agent) => {
      windows.delete(agent);
      slowed.delete(agent);
      stalled.delete(agent);
    },
  };
}

/** Share of the expected progress; less than a percent counts as one. */
function shareOf({ actual, expected }: Window): number {
  return Math.max(actual, 1) / Math.max(expected, 1);
}
