/**
 * Turns a result of validation into a value or an error.
 *
 * @module
 */

import type { Result } from "neverthrow";
import { configurationError } from "@dragonflyledge/schema";
import type { Problem } from "@dragonflyledge/schema";

/**
 * Returns the valid value. `peer` names what is declared in the error.
 *
 * @throws {StepError} with code `DFL_CONFIGURATION`; it lists all problems
 */
export function required<T>(result: Result<T, Problem[]>, peer: string): T {
  if (result.isOk()) return result.value;
  throw configurationError({ problems: result.error, step: "declare", peer });
}
