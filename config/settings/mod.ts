/**
 * INI settings of the daemons, with all errors reported at once.
 *
 * @module
 */

export {};
