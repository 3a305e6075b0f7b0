/**
 * Declares capacity shapes.
 *
 * @module
 */

import type { Adjacency, Shape } from "@dragonflyledge/model";
import { parseShape } from "@dragonflyledge/schema";
import { required } from "./declare.ts";

/**
 * Declares a capacity shape. With adjacency `worker`, the number of
 * accelerators must be a power of two.
 *
 * @throws {StepError} with code `DFL_CONFIGURATION` if a field is invalid
 */
export function shape(fields: {
  accelerators: number;
  adjacency: Adjacency;
  /** Number of such shapes; 1 if absent. */
  count?: number;
}): Shape {
  const value = { count: 1, ...fields };
  return required(parseShape({ value, path: "shape" }), "shape");
}
