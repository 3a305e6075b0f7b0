/**
 * Command `jobs submit`.
 *
 * @module
 */

import type { RemoteFlags } from "../client.ts";
import { asFields, formatValue } from "../output.ts";
import { readJson } from "../read_document.ts";
import { show } from "../show.ts";
import { group, remote } from "./register.ts";
import type { Register } from "./register.ts";

/** Adds the command. */
export const registerJobsSubmit: Register = ({ program, dependencies }) => {
  remote(group(program, "jobs").command("submit <file>"))
    .description("Submit a job from a JSON file; - reads standard input.")
    .action(async (file: string, options: RemoteFlags) => {
      const body = await readJson(file, dependencies);
      await show({
        dependencies,
        options,
        // A second submission would be a second job.
        call: { method: "POST", path: "/v1/jobs", body, repeatable: false },
        format: (answer) => {
          const { id, job } = asFields(answer);
          return `Job ${formatValue(id ?? asFields(job)["id"])} is accepted.`;
        },
      });
    });
};
