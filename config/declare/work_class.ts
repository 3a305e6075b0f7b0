/**
 * Declaration of classes of work.
 *
 * @module
 */

import type { WorkClass } from "@dragonflyledge/model";
import { parseClass } from "@dragonflyledge/schema";
import { valueOrThrow } from "./declare.ts";

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
  return valueOrThrow(result, `class ${fields.name}`);
}
