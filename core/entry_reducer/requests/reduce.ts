/**
 * Handles the events that concern requests.
 *
 * @module
 */

import type { EntryEvent } from "@dragonflyledge/model";
import type { Emit, EntryState } from "../state.ts";

export function reduceRequests(
  _state: EntryState,
  _event: EntryEvent,
  _emit: Emit,
): void {
}
