/**
 * Declares classes of work.
 *
 * @module
 */

import type { WorkClass } from "@dragonflyledge/model";
import { parseClass } from "@dragonflyledge/schema";
import { required } from "./declare.ts";

/**
 * Declares a class of work.
 *
 * @throws {StepError} with code `DFL_CONFIGURATION` if a field is invalid
 */
export function workClass(fields: {
  name: string;
  /** Whether the work may not wait. */
  urgent: boolean;
  /** Largest share of an endpoint's slots, above 0 and at most 1. */
  slotShare: number;
  /** Deadline of work that has none of its own, in milliseconds. */
  defaultDeadline: number;
  /** Most requests that a team may have queued at one entry. */
  queueLimit: number;
}): WorkClass {
  const path = `classes[${fields.name}]`;
  const result = parseClass({ value: fields, path });
  return required(result, `class ${fields.name}`);
}
