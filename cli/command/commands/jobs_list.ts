/**
 * Command `jobs list`: lists jobs.
 *
 * @module
 */

import type { ClientOptions } from "../client.ts";
import { flattenJob } from "../job_fields.ts";
import { asList, formatTable } from "../output.ts";
import { printAnswer } from "../show.ts";
import { addClientOptions, findOrAddGroup } from "./register.ts";
import type { CommandRegistration } from "./register.ts";

const KEYS = ["id", "state", "team", "class", "members", "submitted", "reason"];

/** Registers the command. */
export const registerJobsList: CommandRegistration = (
  { program, dependencies },
) => {
  addClientOptions(findOrAddGroup(program, "jobs").command("list"))
    .description("List jobs.")
    .action(async (options: ClientOptions) => {
      await printAnswer({
        dependencies,
        options,
        call: { method: "GET", path: "/v1/jobs", repeatable: true },
        format: (body) => {
          const rows = asList(body, "jobs").map(flattenJob);
          return formatTable({ rows, keys: KEYS });
        },
      });
    });
};
