/**
 * Runs the plans of many seeds, and shrinks those that break a guarantee.
 *
 * @module
 */

import type { Milliseconds } from "@dragonflyledge/model";
import { drawPlan } from "./draw_plan.ts";
import type { Plan } from "./inputs.ts";
import type { Violation } from "./ledger.ts";
import { runPlan } from "./run_plan.ts";
import { shrinkPlan } from "./shrink.ts";

/** A seed whose plan breaks a guarantee. */
export interface FoundCase {
  seed: number;
  violation: Violation;
  /** Number of events up to the violation. */
  events: number;
  /** Number of inputs of the whole plan. */
  inputs: number;
  shrunk: Plan;
}

/** How far an exploration has come. */
export interface Progress {
  seeds: number;
  events: number;
  cases: FoundCase[];
  elapsed: Milliseconds;
}

/** Explores seeds until all were run or the time is over. */
export function explore(fields: {
  firstSeed: number;
  seeds: number;
  /** Inputs of each plan. */
  inputs: number;
  /** Kinds of inputs to leave out. */
  without?: readonly string[];
  time: Milliseconds;
  /** Monotonic time. */
  now: () => Milliseconds;
  onCase?: (found: FoundCase) => void;
  /** Called after each seed. */
  onSeed?: (progress: Progress) => void;
}): Progress {
  const { now, firstSeed } = fields;
  const startedAt = now();
  const progress: Progress = { seeds: 0, events: 0, cases: [], elapsed: 0 };
  while (progress.seeds < fields.seeds && progress.elapsed < fields.time) {
    const seed = firstSeed + progress.seeds;
    const plan = drawPlan({ ...fields, seed });
    const { violation, events } = runPlan(plan);
    progress.seeds++;
    progress.events += events;
    if (violation) {
      const shrunk = shrinkPlan(plan, violation.guarantee);
      const inputs = plan.inputs.length;
      const found = { seed, violation, events, inputs, shrunk };
      progress.cases.push(found);
      fields.onCase?.(found);
    }
    progress.elapsed = now() - startedAt;
    fields.onSeed?.(progress);
  }
  return progress;
}
