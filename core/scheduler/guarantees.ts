/**
 * Tells which urgent jobs their team's guarantee covers.
 *
 * @module
 */

import type { Job, SchedulerState } from "./state.ts";

/** Covers urgent jobs as of one moment; changes of the state are not seen. */
export interface GuaranteeCover {
  /** Whether the guarantee of the job's team covers the job. */
  covers(job: Job): boolean;
  /** Accelerators that all urgent jobs of the team need together. */
  teamNeed(team: string): number;
}

/** Creates the cover of the present jobs; each team is worked out on demand. */
export function createGuaranteeCover(state: SchedulerState): GuaranteeCover {
  const needs = new Map<string, number>();

  function teamNeed(team: string): number {
    const known = needs.get(team);
    if (known !== undefined) return known;
    let need = 0;
    for (const job of state.active) {
      if (job.policy.priority !== 0 || job.request.team !== team) continue;
      need += acceleratorsOf(job);
    }
    needs.set(team, need);
    return need;
  }

  return {
    covers: (job) => {
      if (job.policy.priority !== 0) return false;
      const { team } = job.request;
      return teamNeed(team) <= (state.policies.guarantees.get(team) ?? 0);
    },
    teamNeed,
  };
}

/** Accelerators that the largest step of the job needs. */
export function acceleratorsOf(job: Job): number {
  return Math.max(
    ...job.request.steps.map((step) => step.count * step.accelerators),
  );
}
