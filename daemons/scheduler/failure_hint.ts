/**
 * What callers can do about a job that failed.
 *
 * @module
 */

import { FailureCode } from "@dragonflyledge/scheduler";

const HINTS: Record<FailureCode, string> = {
  [FailureCode.Attempts]:
    "The task failed as often as its queue permits. Look at what it does.",
  [FailureCode.WorkerCrashes]:
    "Workers crashed when they ran the task. Do not submit it unchanged.",
};

/** Returns the hint for a failed job. */
export function failureHint(code: FailureCode): string {
  return HINTS[code];
}
