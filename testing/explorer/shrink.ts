/**
 * Shrinks a plan to a short one that still breaks the same guarantee.
 *
 * @module
 */

import type { Input, Plan } from "./inputs.ts";
import type { Guarantee } from "./ledger.ts";
import { runPlan } from "./run_plan.ts";

/** Events after which no further plan is tried. */
const MAX_EVENTS = 10_000_000;

/**
 * Leaves out inputs, by halves and at last one by one, as long as the guarantee
 * is still broken. Times and parameters of the others stay as they are.
 */
export function shrinkPlan(plan: Plan, guarantee: Guarantee): Plan {
  let events = 0;
  let inputs = plan.inputs;

  const fails = (candidate: Input[]) => {
    const result = runPlan({ ...plan, inputs: candidate });
    events += result.events;
    return result.violation?.guarantee === guarantee;
  };

  /** Leaves out parts of this size; returns whether any could be left out. */
  function leaveOutParts(size: number): boolean {
    let changed = false;
    for (let from = 0; from < inputs.length && events < MAX_EVENTS;) {
      const rest = inputs.toSpliced(from, size);
      if (fails(rest)) {
        inputs = rest;
        changed = true;
      } else from += size;
    }
    return changed;
  }

  let size = Math.ceil(inputs.length / 2);
  while (size >= 1 && events < MAX_EVENTS) {
    const changed = leaveOutParts(size);
    if (size === 1 && !changed) break;
    size = Math.max(1, Math.floor(size / 2));
  }
  return { ...plan, inputs };
}
