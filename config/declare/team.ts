/**
 * Declares teams.
 *
 * @module
 */

import type { Shape, Team } from "@dragonflyledge/model";
import { guaranteedAccelerators, parseTeam } from "@dragonflyledge/schema";
import { required } from "./declare.ts";

/**
 * Declares a team.
 *
 * @throws {StepError} with code `DFL_CONFIGURATION` if a field is invalid
 */
export function team(fields: {
  name: string;
  tokenDigests: string[];
  guarantees: Shape[];
  /** If absent, the sum of the guarantees: then the team borrows nothing. */
  acceleratorQuota?: number;
  /** 1 if absent. */
  weight?: number;
}): Team {
  const value = { weight: 1, acceleratorQuota: 0, ...fields };
  if (fields.acceleratorQuota === undefined) {
    value.acceleratorQuota = guaranteedAccelerators(value);
  }
  const path = `teams[${fields.name}]`;
  return required(parseTeam({ value, path }), `team ${fields.name}`);
}
