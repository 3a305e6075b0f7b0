/**
 * Command `jobs why`.
 *
 * @module
 */

import type { RemoteFlags } from "../client.ts";
import { flattenJob, jobPath } from "../job_fields.ts";
import { formatValue, wrap } from "../output.ts";
import { show } from "../show.ts";
import { group, remote } from "./register.ts";
import type { Register } from "./register.ts";

/** Adds the command. */
export const registerJobsWhy: Register = ({ program, dependencies }) => {
  remote(group(program, "jobs").command("why <id>"))
    .description("Say why a job waits, runs or ended.")
    .action(async (id: string, options: RemoteFlags) => {
      await show({
        dependencies,
        options,
        call: { method: "GET", path: jobPath(id), repeatable: true },
        format: (body) => {
          const { state, why, reason } = flattenJob(body);
          const reasons = Array.isArray(why) ? why : [why ?? reason];
          const lines = reasons.map((each) => wrap(formatValue(each)));
          return [`${id} is ${formatValue(state)}.`, ...lines].join("\n");
        },
      });
    });
};
