/**
 * Tells which urgent jobs their team's guarantee covers.
 *
 * @module
 */

import type { Job, SchedulerState } from "../state.ts";

/** Covers urgent jobs as of one moment; changes of the state are not seen. */
export interface GuaranteeCover {
  /** Whether the guarantee of the job's team covers the job. */
  covers(job: Job): boolean;
  /** Whether the guarantee covers all urgent jobs of the team. */
  fits(team: string): boolean;
  /** Accelerators that all urgent jobs of the team need together. */
  teamNeed(team: string): number;
}

/** The urgent jobs of one team. */
interface TeamCover {
  covered: Set<Job>;
  need: number;
}

/**
 * Creates the cover of the present jobs. A guarantee covers a team's jobs in
 * the order of their acceptance, as far as they fit it; a team that asks for
 * more keeps what it is guaranteed.
 */
export function createGuaranteeCover(state: SchedulerState): GuaranteeCover {
  const teams = new Map<string, TeamCover>();
  const urgent = [...state.active]
    .filter((job) => job.policy.priority === 0)
    .sort(compareAcceptance);
  const used = new Map<string, number>();
  for (const job of urgent) {
    const { team } = job.request;
    const cover = teams.get(team) ?? { covered: new Set(), need: 0 };
    teams.set(team, cover);
    const need = acceleratorsOf(job);
    cover.need += need;
    const total = (used.get(team) ?? 0) + need;
    if (total > (state.policies.guarantees.get(team) ?? 0)) continue;
    used.set(team, total);
    cover.covered.add(job);
  }
  return {
    covers: (job) => teams.get(job.request.team)?.covered.has(job) ?? false,
    fits: (team) =>
      (teams.get(team)?.need ?? 0) <=
        (state.policies.guarantees.get(team) ?? 0),
    teamNeed: (team) => teams.get(team)?.need ?? 0,
  };
}

function compareAcceptance(a: Job, b: Job): number {
  return a.request.acceptedAt - b.request.acceptedAt ||
    (a.request.id < b.request.id ? -1 : 1);
}

/** Accelerators that the largest step of the job needs. */
export function acceleratorsOf(job: Job): number {
  return Math.max(
    ...job.request.steps.map((step) => step.count * step.accelerators),
  );
}
