/**
 * Key under which results of placement are shared between jobs.
 *
 * @module
 */

import type { JobSpec } from "@dragonflyledge/model";
import { isRevocable } from "./capacity.ts";

/**
 * Returns a key that is equal for gangs of one team with equal needs: either
 * all of them fit or none does.
 */
export function shapeKey(spec: JobSpec, urgent: boolean): string {
  const { accelerators, cores, memoryMiB } = spec.perMember;
  return [
    spec.team,
    spec.members,
    accelerators,
    cores,
    memoryMiB,
    spec.adjacency,
    isRevocable(spec),
    urgent,
  ].join("\n");
}
