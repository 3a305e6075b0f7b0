/**
 * Operators' library that declares a configuration and prints it as canonical JSON.
 *
 * @module
 */

export {};
