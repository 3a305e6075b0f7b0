/**
 * Handles the events that concern configuration.
 *
 * @module
 */

import type { EntryEvent } from "@dragonflyledge/model";
import type { Emit, EntryState } from "../state.ts";

export function reduceConfiguration(
  _state: EntryState,
  _event: EntryEvent,
  _emit: Emit,
): void {
}
