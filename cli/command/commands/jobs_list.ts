/**
 * Command `jobs list`.
 *
 * @module
 */

import type { RemoteFlags } from "../client.ts";
import { flattenJob } from "../job_fields.ts";
import { asList, formatTable } from "../output.ts";
import { show } from "../show.ts";
import { group, remote } from "./register.ts";
import type { Register } from "./register.ts";

const KEYS = ["id", "state", "team", "class", "members", "submitted", "reason"];

/** Adds the command. */
export const registerJobsList: Register = ({ program, dependencies }) => {
  remote(group(program, "jobs").command("list"))
    .description("List jobs.")
    .action(async (options: RemoteFlags) => {
      await show({
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
