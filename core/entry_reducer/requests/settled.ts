/**
 * Whether a stopping entry still has requests to answer.
 *
 * @module
 */

import type { EntryState } from "../state.ts";

/** Whether every request that the entry received has its outcome. */
export function requestsSettled(state: EntryState): boolean {
  return state.requests.open.size === 0;
}
