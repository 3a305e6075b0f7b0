/**
 * Command `config history`.
 *
 * @module
 */

import type { RemoteFlags } from "../client.ts";
import { asList, formatTable } from "../output.ts";
import { show } from "../show.ts";
import { group, remote } from "./register.ts";
import type { Register } from "./register.ts";

/** Adds the command. */
export const registerConfigHistory: Register = ({ program, dependencies }) => {
  remote(group(program, "config").command("history"))
    .description("List accepted versions with author and time.")
    .action(async (options: RemoteFlags) => {
      const path = "/v1/configuration/history";
      await show({
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
