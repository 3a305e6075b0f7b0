/**
 * Declares services.
 *
 * @module
 */

import type { Service } from "@dragonflyledge/model";
import { BODY_LIMIT, parseService } from "@dragonflyledge/schema";
import { required } from "./declare.ts";

/**
 * Declares a service.
 *
 * @throws {StepError} with code `DFL_CONFIGURATION` if a field is invalid
 */
export function service(fields: {
  name: string;
  path: string;
  /** Bytes; 512 KiB if absent. */
  bodyLimit?: number;
}): Service {
  const value = { bodyLimit: BODY_LIMIT, ...fields };
  const path = `services[${fields.name}]`;
  return required(parseService({ value, path }), `service ${fields.name}`);
}
