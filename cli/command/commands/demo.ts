/**
 * Command `demo`: runs a scripted demonstration on an example system.
 *
 * @module
 */

import { EXAMPLES } from "../dev/deployments.ts";
import { runDemo } from "../dev/demo.ts";
import { startExample } from "../dev/example.ts";
import { submitConfiguration } from "../dev/submit.ts";
import { CommandFailure } from "../failure.ts";
import { formatTable } from "../output.ts";
import type { CommandRegistration } from "./register.ts";

/** Number of workers of the example system. */
const WORKERS = 11;

/** Registers the command. */
export const registerDemo: CommandRegistration = (
  { program, dependencies },
) => {
  program.command("demo")
    .description(
      "Run an example system, send it work, and print the answers.",
    )
    .action(async () => {
      const { deployment, configuration } = EXAMPLES.nyabugogo!;
      const system = await startExample({
        deployment: { ...deployment, workers: WORKERS },
        id: "demo",
        level: "error",
        firstHttpPort: 0,
      });
      try {
        const url = system.urls[0]!;
        await submitConfiguration({ url, configuration });
        const rows = await runDemo({ urls: system.urls });
        const keys = ["caller", "work", "entry", "outcome", "told"];
        dependencies.write(formatTable({ rows: rows.map(toRow), keys }));
        dependencies.write("\n");
        const unexpected = rows.filter((row) => !row.expected).length;
        dependencies.write(
          `${rows.length - unexpected} of ${rows.length} as expected\n`,
        );
        if (unexpected === 0) return;
        const message = `${unexpected} callers got an unexpected answer`;
        throw new CommandFailure({ exit: "Failure", step: "demo", message });
      } finally {
        await system.stop();
      }
    });
};

function toRow(row: object): Record<string, unknown> {
  return { ...row };
}
