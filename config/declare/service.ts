/**
 * Declaration of services.
 *
 * @module
 */

import type { Service } from "@dragonflyledge/model";
import { BODY_LIMIT, parseService } from "@dragonflyledge/schema";
import { valueOrThrow } from "./declare.ts";

/**
 * Declares a service. The body limit is 512 KiB if absent.
 *
 * @throws {StepError} with code `DFL_CONFIGURATION`
 */
export function service(fields: {
  name: string;
  path: string;
  bodyLimit?: number;
}): Service {
  const value = { bodyLimit: BODY_LIMIT, ...fields };
  const path = `services[${fields.name}]`;
  return valueOrThrow(parseService({ value, path }), `service ${fields.name}`);
}
