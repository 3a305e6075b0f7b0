/**
 * Command `jobs cancel`.
 *
 * @module
 */

import type { RemoteFlags } from "../client.ts";
import { jobPath } from "../job_fields.ts";
import { show } from "../show.ts";
import { group, remote } from "./register.ts";
import type { Register } from "./register.ts";

/** Adds the command. */
export const registerJobsCancel: Register = ({ program, dependencies }) => {
  remote(group(program, "jobs").command("cancel <id>"))
    .description("Cancel a job; its members are stopped.")
    .action(async (id: string, options: RemoteFlags) => {
      await show({
        dependencies,
        options,
        call: { method: "DELETE", path: jobPath(id), repeatable: true },
        format: () => `Cancellation of ${id} is accepted.`,
      });
    });
};
