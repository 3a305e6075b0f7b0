/**
 * Command `demo`: runs a scripted demonstration on an example system.
 *
 * @module
 */

import { Part } from "@dragonflyledge/log";
import { createObserver } from "../daemon/observer.ts";
import { EXAMPLES } from "../dev/deployments.ts";
import { runDemo } from "../dev/demo.ts";
import { DEV_OPERATOR } from "../dev/operator.ts";
import { submitConfiguration } from "../dev/submit.ts";
import { startDevSystem } from "../dev/system.ts";
import { CommandFailure } from "../failure.ts";
import { formatTable } from "../output.ts";
import type { CommandRegistration } from "./register.ts";

const SEED = 1;
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
      const observer = createObserver({
        part: Part.Cli,
        id: "demo",
        level: "error",
        metrics: { port: 0, prefix: "" },
      });
      const system = await startDevSystem({
        deployment: { ...deployment, workers: WORKERS },
        operators: [DEV_OPERATOR],
        observer,
        seed: SEED,
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
