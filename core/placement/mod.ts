/**
 * Home assignment, gang placement, reclaim victims and fragmentation as pure
 * functions.
 *
 * @module
 */

export * from "./assign_homes.ts";
export * from "./choose_victims.ts";
export * from "./fragmentation.ts";
export * from "./index_homes.ts";
export * from "./place_gang.ts";
export * from "./worker_view.ts";
