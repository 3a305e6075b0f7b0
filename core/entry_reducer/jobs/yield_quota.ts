/**
 * Preemption of a team's deferrable work when its quota is too small for its
 * urgent work.
 *
 * @module
 */

import { isRevocable, lostWork } from "./capacity.ts";
import type { Context } from "./context.ts";
import { chooseEnding } from "./endings.ts";
import { stopGang } from "./run.ts";
import type { Job } from "./state.ts";

/**
 * Stops revocable gangs of the urgent job's team that are not urgent, those
 * with the least lost work first, until at least `missing` accelerators come
 * free. Stops none if all of them are not enough.
 */
export function preemptForQuota(
  context: Context,
  job: Job,
  missing: number,
): void {
  const gangs: Job[] = [];
  let left = missing;
  for (const other of context.jobs.jobs.values()) {
    const same = other.record.spec.team === job.record.spec.team;
    if (!same || other.urgent || other.need === 0) continue;
    if (other.gang?.phase === "stopping") left -= other.need;
    const revocable = isRevocable(other.record.spec);
    if (other.gang?.phase === "running" && revocable) gangs.push(other);
  }
  const available = gangs.reduce((sum, other) => sum + other.need, 0);
  if (left <= 0 || available < left) return;
  const lost = new Map(
    gangs.map((other) => [other, lostWork(context, other.record.id)]),
  );
  gangs.sort((a, b) => (lost.get(a) ?? 0) - (lost.get(b) ?? 0));
  for (const other of gangs) {
    if (left <= 0) return;
    left -= other.need;
    const reason = `makes room in the quota for urgent ${job.record.id}`;
    stopGang(context, other, chooseEnding(other, reason, false));
  }
}
