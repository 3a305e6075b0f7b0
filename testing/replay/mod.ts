/**
 * Trace replay in virtual time, baselines and slopes.
 *
 * @module
 */

export {};
