/**
 * Operators' library that declares a configuration and prints it as canonical JSON.
 *
 * @module
 */

export { configuration, printConfiguration } from "./configuration.ts";
export { shape, team } from "./team.ts";
export { tokenDigest } from "./token.ts";
export { service, workClass } from "./work.ts";
