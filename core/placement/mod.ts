/**
 * Home assignment, gang placement, reclaim victims and fragmentation as pure functions.
 *
 * @module
 */

export {};
