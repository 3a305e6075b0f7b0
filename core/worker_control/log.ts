/**
 * Writes log lines as effects of the reducer.
 *
 * @module
 */

import type { Fields } from "@dragonflyledge/model";
import type { ControlState } from "./state.ts";

/** Adds a log line of level `info` to the effects of the current event. */
export function log(state: ControlState, text: string, fields: Fields): void {
  state.effects.push({ kind: "log", level: "info", text, fields });
}
