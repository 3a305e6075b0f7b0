/**
 * The command line program: parses arguments, runs commands and turns errors
 * into messages and exit codes.
 *
 * @module
 */

import { Command, CommanderError } from "commander";
import { StepError } from "@dragonflyledge/model";
import { COMMANDS } from "./commands/list.ts";
import type { Dependencies } from "./dependencies.ts";
import { EXIT_CODES } from "./exit_code.ts";
import { CommandFailure } from "./failure.ts";
import { formatValue } from "./output.ts";

const EXAMPLES = `
Examples:
  dragonflyledge config print operators/teams.js > teams.json
  dragonflyledge config check teams.json
  dragonflyledge config diff teams.json --entry http://10.0.0.1:8080
  dragonflyledge config submit teams.json --expect 12 \\
    --entry http://10.0.0.1:8080 --entry http://10.0.0.2:8080
  dragonflyledge jobs why job-17 --entry http://10.0.0.1:8080

Environment:
  DRAGONFLYLEDGE_TOKEN  bearer token, unless --token-file is given
  DRAGONFLYLEDGE_ENTRY  entries, separated by commas, unless --entry is given
`;

/**
 * Returns the program with all commands registered. Parsing throws a
 * `CommanderError` for wrong usage and also after printing help.
 */
export function createProgram(dependencies: Dependencies): Command {
  const program = new Command("dragonflyledge")
    .description("Schedules multi-accelerator jobs under team guarantees.")
    .exitOverride()
    .configureHelp({ helpWidth: 80 })
    .configureOutput({
      writeOut: dependencies.write,
      writeErr: dependencies.writeError,
      getOutHelpWidth: () => 80,
      getErrHelpWidth: () => 80,
    })
    .addHelpText("after", `${EXAMPLES}\n${exitCodeHelp()}`);
  for (const register of COMMANDS) register({ program, dependencies });
  return program;
}

/**
 * Runs the program and returns its exit code. Errors are written to standard
 * error; none is thrown.
 */
export async function runProgram(fields: {
  dependencies: Dependencies;
  /** Command line arguments without the name of the program. */
  arguments: string[];
}): Promise<number> {
  const { dependencies } = fields;
  try {
    const program = createProgram(dependencies);
    await program.parseAsync(fields.arguments, { from: "user" });
    return EXIT_CODES.Success.code;
  } catch (error) {
    if (error instanceof CommanderError) return usageExitCode(error);
    dependencies.writeError(formatError(error));
    return error instanceof CommandFailure
      ? error.exitCode
      : EXIT_CODES.Failure.code;
  }
}

/**
 * Returns the exit code for an error of the commander library, which has
 * already printed its message. Help ends with code 0.
 */
function usageExitCode(error: CommanderError): number {
  return error.exitCode === 0 ? 0 : EXIT_CODES.Usage.code;
}

/** Returns the message of an error, with hint and details of a StepError. */
function formatError(error: unknown): string {
  const message = error instanceof Error ? error.message : String(error);
  const shown = message.split("\n").map((line) => formatValue(line));
  const lines = [`error: ${shown.join("\n  ")}`];
  if (error instanceof StepError) {
    if (error.hint !== "") lines.push(`hint: ${error.hint}`);
    lines.push(`(${error.code}, ${error.step}, ${formatValue(error.peer)})`);
  }
  return `${lines.join("\n")}\n`;
}

function exitCodeHelp(): string {
  const codes = Object.values(EXIT_CODES);
  const lines = codes.map(({ code, meaning }) => `  ${code}  ${meaning}`);
  return `Exit codes:\n${lines.join("\n")}`;
}
