/**
 * Command `config diff`: compares a file with the configuration in force.
 *
 * @module
 */

import { CONFIGURATION_KEY } from "@dragonflyledge/platform";
import { diffConfigurations, formatChange } from "@dragonflyledge/schema";
import { createClient } from "../client.ts";
import type { ClientOptions } from "../client.ts";
import { fetchConfiguration } from "../current_configuration.ts";
import { CommandFailure } from "../failure.ts";
import { diffPlatformFiles } from "../platform/commands.ts";
import { readConfiguration } from "../read_document.ts";
import { addClientOptions, findOrAddGroup } from "./register.ts";
import type { CommandRegistration } from "./register.ts";

type DiffOptions = ClientOptions & { platform?: boolean; inForce?: string };

/** Registers the command. */
export const registerConfigDiff: CommandRegistration = (
  { program, dependencies },
) => {
  addClientOptions(findOrAddGroup(program, "config").command("diff <file>"))
    .description("Show how a file differs from the configuration in force.")
    .option("--platform", `the file is a value of ${CONFIGURATION_KEY}`)
    .option(
      "--in-force <file>",
      "with --platform: file with the value that is in the store",
    )
    .action(async (path: string, options: DiffOptions) => {
      const { platform, inForce, json = false } = options;
      if (platform) {
        if (inForce === undefined) throw needsFile(path);
        return await diffPlatformFiles({ path, inForce, json, dependencies });
      }
      const after = await readConfiguration(path, dependencies);
      const client = await createClient({ dependencies, options });
      const before = await fetchConfiguration(client);
      const changes = diffConfigurations({ before, after });
      const { version } = before;
      if (options.json) {
        const output = JSON.stringify({ version, changes }, undefined, 2);
        dependencies.write(`${output}\n`);
        return;
      }
      const lines = [
        `Version ${version} is in force; ${changes.length} differences.`,
        ...changes.map(formatChange),
      ];
      dependencies.write(`${lines.join("\n")}\n`);
    });
};

function needsFile(peer: string): CommandFailure {
  return new CommandFailure({
    exit: "Usage",
    step: "diff",
    peer,
    message: "--platform needs --in-force",
    hint: `Save the value of ${CONFIGURATION_KEY} from the store to a file.`,
  });
}
