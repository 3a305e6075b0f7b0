/**
 * Command `drain`.
 *
 * @module
 */

import type { RemoteFlags } from "../client.ts";
import { show } from "../show.ts";
import { remote } from "./register.ts";
import type { Register } from "./register.ts";

/** Adds the command. */
export const registerDrain: Register = ({ program, dependencies }) => {
  remote(program.command("drain <worker>"))
    .description("Give a worker no more work and let it finish what it has.")
    .action(async (worker: string, options: RemoteFlags) => {
      const path = `/v1/workers/${encodeURIComponent(worker)}/drain`;
      await show({
        dependencies,
        options,
        call: { method: "POST", path, repeatable: true },
        format: () => `Worker ${worker} is draining.`,
      });
    });
};
