/**
 * Handles the events that concern jobs.
 *
 * @module
 */

import type { EntryEvent } from "@dragonflyledge/model";
import type { Emit, EntryState } from "../state.ts";

export function reduceJobs(
  _state: EntryState,
  _event: EntryEvent,
  _emit: Emit,
): void {
}
