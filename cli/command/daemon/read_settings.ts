/**
 * Reads the settings file of a daemon.
 *
 * @module
 */

import { readSettings, settingsError } from "@dragonflyledge/settings";
import type { AgentSettings, EntrySettings } from "@dragonflyledge/settings";
import type { Dependencies } from "../dependencies.ts";

/** Returns the settings of an entry, or throws all of their problems. */
export async function readEntrySettings(
  dependencies: Dependencies,
  file: string,
): Promise<EntrySettings> {
  const text = await dependencies.readFile(file);
  const settings = readSettings({ text, file, role: "entry" });
  if (settings.isErr()) throw settingsError(settings.error);
  return settings.value;
}

/** Returns the settings of an agent, or throws all of their problems. */
export async function readAgentSettings(
  dependencies: Dependencies,
  file: string,
): Promise<AgentSettings> {
  const text = await dependencies.readFile(file);
  const settings = readSettings({ text, file, role: "agent" });
  if (settings.isErr()) throw settingsError(settings.error);
  return settings.value;
}
