/**
 * Command line of dragonflyledge.
 *
 * @module
 */

export {};
