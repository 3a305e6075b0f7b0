/**
 * Command `jobs cancel`: cancels a job.
 *
 * @module
 */

import type { ClientOptions } from "../client.ts";
import { jobPath } from "../job_fields.ts";
import { printAnswer } from "../show.ts";
import { addClientOptions, findOrAddGroup } from "./register.ts";
import type { CommandRegistration } from "./register.ts";

/** Registers the command. */
export const registerJobsCancel: CommandRegistration = (
  { program, dependencies },
) => {
  addClientOptions(findOrAddGroup(program, "jobs").command("cancel <id>"))
    .description("Cancel a job and stop its members.")
    .action(async (id: string, options: ClientOptions) => {
      await printAnswer({
        dependencies,
        options,
        call: { method: "DELETE", path: jobPath(id), repeatable: true },
        format: () => `Cancellation of ${id} is accepted.`,
      });
    });
};
