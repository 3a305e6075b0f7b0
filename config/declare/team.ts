/**
 * Declaration of teams.
 *
 * @module
 */

import type { Shape, Team } from "@dragonflyledge/model";
import { guaranteedAccelerators, parseTeam } from "@dragonflyledge/schema";
import { valueOrThrow } from "./declare.ts";

/**
 * Declares a team. The quota is the sum of the guarantees if absent: then the
 * team borrows nothing. The weight is 1 if absent.
 *
 * @throws {StepError} with code `DFL_CONFIGURATION`
 */
export function team(fields: {
  name: string;
  tokenDigests: string[];
  guarantees: Shape[];
  acceleratorQuota?: number;
  weight?: number;
}): Team {
  const value = { weight: 1, acceleratorQuota: 0, ...fields };
  if (fields.acceleratorQuota === undefined) {
    value.acceleratorQuota = guaranteedAccelerators(value);
  }
  const path = `teams[${fields.name}]`;
  return valueOrThrow(parseTeam({ value, path }), `team ${fields.name}`);
}
