/**
 * Command `jobs show`: prints all fields of a job.
 *
 * @module
 */

import type { ClientOptions } from "../client.ts";
import { flattenJob, jobPath } from "../job_fields.ts";
import { formatFields } from "../output.ts";
import { printAnswer } from "../show.ts";
import { addClientOptions, findOrAddGroup } from "./register.ts";
import type { CommandRegistration } from "./register.ts";

/** Registers the command. */
export const registerJobsShow: CommandRegistration = (
  { program, dependencies },
) => {
  addClientOptions(findOrAddGroup(program, "jobs").command("show <id>"))
    .description("Show one job with all fields.")
    .action(async (id: string, options: ClientOptions) => {
      await printAnswer({
        dependencies,
        options,
        call: { method: "GET", path: jobPath(id), repeatable: true },
        format: (body) => formatFields(flattenJob(body)),
      });
    });
};
