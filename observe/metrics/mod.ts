/**
 * StatsD metrics: names, units and tags in one table.
 *
 * @module
 */

export {};
