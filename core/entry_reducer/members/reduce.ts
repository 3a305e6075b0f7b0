/**
 * Handles the events that concern members.
 *
 * @module
 */

import type { EntryEvent } from "@dragonflyledge/model";
import type { Emit, EntryState } from "../state.ts";

export function reduceMembers(
  _state: EntryState,
  _event: EntryEvent,
  _emit: Emit,
): void {
}
