/**
 * Reducer of the agent daemon: slots, attempts, reservations, gang leases and
 * reclaim.
 *
 * @module
 */

export * from "./reducer.ts";
