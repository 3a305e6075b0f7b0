/**
 * Whether an entry that stops still owes answers.
 *
 * @module
 */

import type { EntryState } from "../state.ts";

/** Whether every accepted request has its outcome. */
export function requestsSettled(state: EntryState): boolean {
  return state.requests.open.size === 0;
}
