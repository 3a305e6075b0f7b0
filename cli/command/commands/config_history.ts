/**
 * Command `config history`: lists the accepted configuration versions.
 *
 * @module
 */

import type { ClientOptions } from "../client.ts";
import { asList, formatTable } from "../output.ts";
import { printAnswer } from "../show.ts";
import { addClientOptions, findOrAddGroup } from "./register.ts";
import type { CommandRegistration } from "./register.ts";

/** Registers the command. */
export const registerConfigHistory: CommandRegistration = (
  { program, dependencies },
) => {
  addClientOptions(findOrAddGroup(program, "config").command("history"))
    .description("List accepted versions with author and time.")
    .action(async (options: ClientOptions) => {
      const path = "/v1/configuration/history";
      await printAnswer({
        dependencies,
        options,
        call: { method: "GET", path, repeatable: true },
        format: (body) => {
          const keys = ["version", "author", "at", "changes"];
          return formatTable({ rows: asList(body, "history"), keys });
        },
      });
    });
};
