/**
 * Command `drain`: stops giving work to a worker.
 *
 * @module
 */

import type { ClientOptions } from "../client.ts";
import { printAnswer } from "../show.ts";
import { addClientOptions } from "./register.ts";
import type { CommandRegistration } from "./register.ts";

/** Registers the command. */
export const registerDrain: CommandRegistration = (
  { program, dependencies },
) => {
  addClientOptions(program.command("drain <worker>"))
    .description("Give a worker no new work and let its running work finish.")
    .action(async (worker: string, options: ClientOptions) => {
      const path = `/v1/workers/${encodeURIComponent(worker)}/drain`;
      await printAnswer({
        dependencies,
        options,
        call: { method: "POST", path, repeatable: true },
        format: () => `Worker ${worker} is draining.`,
      });
    });
};
