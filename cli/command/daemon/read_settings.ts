/**
 * Reads the settings file of a daemon.
 *
 * @module
 */

import type { StepError } from "@dragonflyledge/model";
import { readSettings, settingsError } from "@dragonflyledge/settings";
import type {
  AgentSettings,
  EntrySettings,
  Role,
} from "@dragonflyledge/settings";
import type { Dependencies } from "../dependencies.ts";
import { CommandFailure } from "../failure.ts";

/**
 * Reads the settings of an entry.
 *
 * @throws CommandFailure that lists all problems of the file
 */
export function readEntrySettings(
  dependencies: Dependencies,
  file: string,
): Promise<EntrySettings> {
  return readFor("entry", dependencies, file);
}

/**
 * Reads the settings of an agent.
 *
 * @throws CommandFailure that lists all problems of the file
 */
export function readAgentSettings(
  dependencies: Dependencies,
  file: string,
): Promise<AgentSettings> {
  return readFor("agent", dependencies, file);
}

async function readFor<R extends Role>(
  role: R,
  dependencies: Dependencies,
  file: string,
) {
  const text = await readText(dependencies, file);
  const settings = readSettings({ text, file, role });
  if (settings.isErr()) throw toUsageFailure(settingsError(settings.error));
  return settings.value;
}

async function readText(
  dependencies: Dependencies,
  file: string,
): Promise<string> {
  try {
    return await dependencies.readFile(file);
  } catch (cause) {
    const { message } = cause as Error;
    const hint = "Specify a readable INI file.";
    const step = "readSettings";
    const peer = file;
    throw new CommandFailure({ exit: "Usage", step, peer, message, hint });
  }
}

function toUsageFailure(error: StepError): CommandFailure {
  const { code, step, peer, message, hint } = error;
  return new CommandFailure({ exit: "Usage", code, step, peer, message, hint });
}
