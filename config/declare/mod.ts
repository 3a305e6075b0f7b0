/**
 * Library with which operators declare a configuration and print it as
 * canonical JSON.
 *
 * @module
 */

export { configuration, printConfiguration } from "./configuration.ts";
export { service } from "./service.ts";
export { shape } from "./shape.ts";
export { team } from "./team.ts";
export { tokenDigest } from "./token.ts";
export { workClass } from "./work_class.ts";
