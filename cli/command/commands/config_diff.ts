/**
 * Command `config diff`: compares a file with the configuration in force.
 *
 * @module
 */

import { diffConfigurations, formatChange } from "@dragonflyledge/schema";
import { createClient } from "../client.ts";
import type { ClientOptions } from "../client.ts";
import { fetchConfiguration } from "../current_configuration.ts";
import { readConfiguration } from "../read_document.ts";
import { addClientOptions, findOrAddGroup } from "./register.ts";
import type { CommandRegistration } from "./register.ts";

/** Registers the command. */
export const registerConfigDiff: CommandRegistration = (
  { program, dependencies },
) => {
  addClientOptions(findOrAddGroup(program, "config").command("diff <file>"))
    .description("Show how a file differs from the configuration in force.")
    .action(async (path: string, options: ClientOptions) => {
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
