/**
 * Command `jobs show`.
 *
 * @module
 */

import type { RemoteFlags } from "../client.ts";
import { flattenJob, jobPath } from "../job_fields.ts";
import { formatFields } from "../output.ts";
import { show } from "../show.ts";
import { group, remote } from "./register.ts";
import type { Register } from "./register.ts";

/** Adds the command. */
export const registerJobsShow: Register = ({ program, dependencies }) => {
  remote(group(program, "jobs").command("show <id>"))
    .description("Show one job with all fields.")
    .action(async (id: string, options: RemoteFlags) => {
      await show({
        dependencies,
        options,
        call: { method: "GET", path: jobPath(id), repeatable: true },
        format: (body) => formatFields(flattenJob(body)),
      });
    });
};
