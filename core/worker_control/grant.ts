/**
 * How long an agent may extend its worker's lease without hearing from the
 * leader.
 *
 * @module
 */

import { SECOND } from "@dragonflyledge/model";
import type { Milliseconds } from "@dragonflyledge/model";

/** Runs survive an absence of the leader that is shorter than this. */
const MAX_GRANT: Milliseconds = 8 * SECOND;

/** Returns the length of a grant if leases last at most `longestLease`. */
export function grantLength(longestLease: Milliseconds): Milliseconds {
  return Math.min(MAX_GRANT, longestLease);
}
