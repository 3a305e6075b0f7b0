/**
 * Declares and prints a whole configuration.
 *
 * @module
 */

import type {
  Configuration,
  Service,
  Team,
  WorkClass,
} from "@dragonflyledge/model";
import { canonicalJson, parseConfiguration } from "@dragonflyledge/schema";
import { required } from "./declare.ts";

/**
 * Declares a configuration. The version is 0 if absent; the submission sets it.
 *
 * @throws {StepError} with code `DFL_CONFIGURATION` if the document is invalid
 */
export function configuration(fields: {
  version?: number;
  teams: Team[];
  classes: WorkClass[];
  services: Service[];
}): Configuration {
  const value = { version: 0, ...fields };
  return required(parseConfiguration({ value }), "configuration");
}

/** Returns the document as canonical JSON with a final newline. */
export function printConfiguration(configuration: Configuration): string {
  return `${canonicalJson(configuration)}\n`;
}
