/**
 * Turns results of validation into values or errors for operators.
 *
 * @module
 */

import type { Result } from "neverthrow";
import { configurationError } from "@dragonflyledge/schema";
import type { Problem } from "@dragonflyledge/schema";

/** Returns the value, or throws an error that lists all problems. */
export function valueOrThrow<T>(result: Result<T, Problem[]>, peer: string): T {
  if (result.isOk()) return result.value;
  throw configurationError({ problems: result.error, step: "declare", peer });
}
