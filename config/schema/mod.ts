/**
 * Validation of the configuration document.
 *
 * @module
 */

export {};
