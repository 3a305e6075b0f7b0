/**
 * Command `dev`: runs an example system in one process.
 *
 * @module
 */

import { InvalidArgumentError } from "commander";
import { EXAMPLES } from "../dev/deployments.ts";
import { startExample } from "../dev/example.ts";
import { DEV_OPERATOR_TOKEN } from "../dev/operator.ts";
import { submitConfiguration } from "../dev/submit.ts";
import { runUntilStopped } from "../daemon/run.ts";
import { parseWholeNumber } from "./register.ts";
import type { CommandRegistration } from "./register.ts";

/** HTTP port of the first entry; the others use the next ones. */
const DEFAULT_PORT = 8080;

interface DevOptions {
  example: string;
  port: number;
}

/** Registers the command. */
export const registerDev: CommandRegistration = ({ program, dependencies }) => {
  program.command("dev")
    .description("Run an example system on loopback, for development.")
    .option("--example <name>", "nyabugogo or sahil", parseExample, "nyabugogo")
    .option(
      "--port <port>",
      "HTTP port of the first entry",
      parseWholeNumber,
      DEFAULT_PORT,
    )
    .action(async ({ example, port }: DevOptions) => {
      const { deployment, configuration } = EXAMPLES[example]!;
      const system = await startExample({
        deployment,
        id: "dev",
        level: "warn",
        firstHttpPort: port,
      });
      await submitConfiguration({ url: system.urls[0]!, configuration });
      for (const url of system.urls) dependencies.write(`entry ${url}\n`);
      dependencies.write(`store ${system.storeUrl}\n`);
      dependencies.write(`operator token ${DEV_OPERATOR_TOKEN}\n`);
      let end = () => {};
      const ended = new Promise<void>((resolve) => {
        end = resolve;
      });
      const stop = () => void system.stop().then(end);
      const daemon = { stop: runOnce(stop), ended };
      await runUntilStopped(() => Promise.resolve(daemon));
    });
};

/** Returns the name if it is that of an example. */
function parseExample(name: string): string {
  if (name in EXAMPLES) return name;
  const names = Object.keys(EXAMPLES).join(", ");
  throw new InvalidArgumentError(`Write one of: ${names}.`);
}

/** Returns a function that runs the task on the first call only. */
function runOnce(task: () => void): () => void {
  let done = false;
  return () => {
    if (!done) task();
    done = true;
  };
}
