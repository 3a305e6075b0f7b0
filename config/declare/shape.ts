/**
 * Declaration of capacity shapes.
 *
 * @module
 */

import type { Adjacency, Shape } from "@dragonflyledge/model";
import { parseShape } from "@dragonflyledge/schema";
import { valueOrThrow } from "./declare.ts";

/**
 * Declares a capacity shape. Adjacency `worker` needs a power of two.
 *
 * @throws {StepError} with code `DFL_CONFIGURATION`
 */
export function shape(fields: {
  accelerators: number;
  adjacency: Adjacency;
  /** 1 if absent. */
  count?: number;
}): Shape {
  const value = { count: 1, ...fields };
  return valueOrThrow(parseShape({ value, path: "shape" }), "shape");
}
