/**
 * Command `jobs submit`: submits a job.
 *
 * @module
 */

import type { ClientOptions } from "../client.ts";
import { asObject, formatValue } from "../output.ts";
import { readJson } from "../read_document.ts";
import { printAnswer } from "../show.ts";
import { addClientOptions, findOrAddGroup } from "./register.ts";
import type { CommandRegistration } from "./register.ts";

/** Registers the command. */
export const registerJobsSubmit: CommandRegistration = (
  { program, dependencies },
) => {
  addClientOptions(findOrAddGroup(program, "jobs").command("submit <file>"))
    .description("Submit a job from a JSON file; - reads standard input.")
    .action(async (file: string, options: ClientOptions) => {
      const body = await readJson(file, dependencies);
      await printAnswer({
        dependencies,
        options,
        // Submitting twice would create two jobs.
        call: { method: "POST", path: "/v1/jobs", body, repeatable: false },
        format: (answer) => {
          const { id, job } = asObject(answer);
          return `Job ${formatValue(id ?? asObject(job)["id"])} is accepted.`;
        },
      });
    });
};
