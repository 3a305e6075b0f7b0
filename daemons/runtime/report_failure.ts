/**
 * Reports an error that a reducer threw.
 *
 * @module
 */

import { StepError } from "@dragonflyledge/model";
import type { Observer } from "./observer.ts";

/** Logs the error and counts it in the metric `invariants.violated`. */
export function reportReducerError(observer: Observer, error: unknown): void {
  const known = error instanceof StepError;
  const step = known ? error.step : "reduce";
  const peer = known ? error.peer : "";
  const reason = error instanceof Error ? error.message : String(error);
  observer.log("error", "The reducer failed.", { step, peer, reason });
  observer.count("invariants.violated", 1, { step });
}
