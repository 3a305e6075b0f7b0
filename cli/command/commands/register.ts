/**
 * Helpers to register commands, and the options that several commands have.
 *
 * @module
 */

import { InvalidArgumentError } from "commander";
import type { Command } from "commander";
import type { Dependencies } from "../dependencies.ts";

/** Function that adds one command to the program. */
export type CommandRegistration = (fields: {
  program: Command;
  dependencies: Dependencies;
}) => void;

/** Descriptions of the command groups by name. */
const GROUP_DESCRIPTIONS: Record<string, string> = {
  config: "Declare, check and submit configurations.",
  jobs: "Submit, inspect and cancel jobs.",
};

/** Returns the command group of this name, and adds it on first use. */
export function findOrAddGroup(program: Command, name: string): Command {
  return program.commands.find((command) => command.name() === name) ??
    program.command(name).description(GROUP_DESCRIPTIONS[name] ?? name);
}

/** Adds the options of `ClientOptions` and returns the command. */
export function addClientOptions(command: Command): Command {
  return command
    .option(
      "--entry <url>",
      "HTTP address of an entry; may be repeated",
      appendValue,
    )
    .option("--token-file <file>", "file with the bearer token")
    .option("--timeout <seconds>", "limit for each entry", parseSeconds, 10)
    .option("--json", "print JSON");
}

/** Parses a number without sign, of 1 to 15 digits. */
export function parseWholeNumber(text: string): number {
  if (/^\d{1,15}$/.test(text)) return Number(text);
  throw new InvalidArgumentError("Write a whole number.");
}

/** Parses a number of seconds above 0 and at most 3600. */
function parseSeconds(text: string): number {
  const seconds = Number(text);
  if (seconds > 0 && seconds <= 3600) return seconds;
  throw new InvalidArgumentError("Write seconds, above 0 and at most 3600.");
}

/** Collects the values of an option that may be repeated. */
function appendValue(text: string, previous: string[] = []): string[] {
  return [...previous, text];
}
