/**
 * Command `jobs why`: prints why a job is in its state.
 *
 * @module
 */

import type { ClientOptions } from "../client.ts";
import { flattenJob, jobPath } from "../job_fields.ts";
import { formatValue, wrapText } from "../output.ts";
import { printAnswer } from "../show.ts";
import { addClientOptions, findOrAddGroup } from "./register.ts";
import type { CommandRegistration } from "./register.ts";

/** Registers the command. */
export const registerJobsWhy: CommandRegistration = (
  { program, dependencies },
) => {
  addClientOptions(findOrAddGroup(program, "jobs").command("why <id>"))
    .description("Show why a job waits, runs or ended.")
    .action(async (id: string, options: ClientOptions) => {
      await printAnswer({
        dependencies,
        options,
        call: { method: "GET", path: jobPath(id), repeatable: true },
        format: (body) => {
          const { state, why, reason } = flattenJob(body);
          const reasons = Array.isArray(why) ? why : [why ?? reason];
          const lines = reasons.map((each) => wrapText(formatValue(each)));
          return [`${id} is ${formatValue(state)}.`, ...lines].join("\n");
        },
      });
    });
};
