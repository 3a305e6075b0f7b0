/**
 * Audit trail in bounded segments in the platform store.
 *
 * @module
 */

export {};
