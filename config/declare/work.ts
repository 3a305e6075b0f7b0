/**
 * Declaration of classes of work and of services.
 *
 * @module
 */

import type { Service, WorkClass } from "@dragonflyledge/model";
import { BODY_LIMIT, parseClass, parseService } from "@dragonflyledge/schema";
import { required } from "./declare.ts";

/**
 * Declares a class of work. Urgent work may not wait.
 *
 * @throws {StepError} with code `DFL_CONFIGURATION`
 */
export function workClass(fields: {
  name: string;
  urgent: boolean;
  slotShare: number;
  /** Milliseconds. */
  defaultDeadline: number;
  queueLimit: number;
}): WorkClass {
  const path = `classes[${fields.name}]`;
  const result = parseClass({ value: fields, path });
  return required(result, `class ${fields.name}`);
}

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
  return required(parseService({ value, path }), `service ${fields.name}`);
}
