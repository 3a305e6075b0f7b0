/**
 * Times that several parts of the model share.
 *
 * @module
 */

import type { Milliseconds } from "@dragonflyledge/model";
import {
  grantLength,
  longestUnlistedTime,
} from "@dragonflyledge/worker-control";

/** Longest lease that a worker accepts. */
export const LONGEST_LEASE: Milliseconds = 10_000;
/** Time after a report for which an agent may extend its worker's lease. */
export const GRANT: Milliseconds = grantLength(LONGEST_LEASE);
/** Time after a report for which an unlisted run may be at work. */
export const UNLISTED_TIME: Milliseconds = longestUnlistedTime(LONGEST_LEASE);
/** Time between two heartbeats of a worker. */
export const HEARTBEAT_INTERVAL: Milliseconds = 1000;
