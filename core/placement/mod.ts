/**
 * Pure functions that assign homes to teams, place gangs on workers, choose the
 * gangs to stop for another one, and measure fragmentation.
 *
 * @module
 */

export * from "./assign_homes.ts";
export * from "./choose_victims.ts";
export * from "./fragmentation.ts";
export * from "./index_homes.ts";
export * from "./place_gang.ts";
export * from "./worker_view.ts";
