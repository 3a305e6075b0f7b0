/**
 * Structured logs with one fixed prefix for each part.
 *
 * @module
 */

export {};
