/**
 * Log lines as effects.
 *
 * @module
 */

import type { Fields } from "@dragonflyledge/model";
import type { ControlState } from "./state.ts";

/** Adds a line to the effects of the present event. */
export function log(state: ControlState, text: string, fields: Fields): void {
  state.effects.push({ kind: "log", level: "info", text, fields });
}
