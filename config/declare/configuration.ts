/**
 * Declaration and printing of a whole configuration.
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
import { valueOrThrow } from "./declare.ts";

/**
 * Declares a configuration. The version is 0 if absent: submission sets it.
 *
 * @throws {StepError} with code `DFL_CONFIGURATION`
 */
export function configuration(fields: {
  version?: number;
  teams: Team[];
  classes: WorkClass[];
  services: Service[];
}): Configuration {
  const value = { version: 0, ...fields };
  return valueOrThrow(parseConfiguration({ value }), "configuration");
}

/** Returns the document as canonical JSON with a final newline. */
export function printConfiguration(configuration: Configuration): string {
  return `${canonicalJson(configuration)}\n`;
}
