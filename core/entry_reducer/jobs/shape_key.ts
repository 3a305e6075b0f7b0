/**
 * Key of gangs that fit or don't fit alike.
 *
 * @module
 */

import type { JobSpec } from "@dragonflyledge/model";
import { isRevocable } from "./capacity.ts";

/** Equal for gangs of one team with equal needs. */
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
