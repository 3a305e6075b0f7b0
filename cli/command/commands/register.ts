/**
 * Registration of commands, and the options that they share.
 *
 * @module
 */

import { InvalidArgumentError } from "commander";
import type { Command } from "commander";
import type { Dependencies } from "../dependencies.ts";

/** Adds one command to the program. */
export type CommandRegistration = (fields: {
  program: Command;
  dependencies: Dependencies;
}) => void;

const GROUP_DESCRIPTIONS: Record<string, string> = {
  config: "Declare, check and submit configurations.",
  jobs: "Submit, inspect and cancel jobs.",
};

/** Returns the group of commands, which is added when first used. */
export function findOrAddGroup(program: Command, name: string): Command {
  return program.commands.find((command) => command.name() === name) ??
    program.command(name).description(GROUP_DESCRIPTIONS[name] ?? name);
}

/** Adds the options of commands that call an entry. */
export function addClientOptions(command: Command): Command {
  return command
    .option("--entry <url>", "HTTP address; repeat it for more", appendValue)
    .option("--token-file <file>", "file with the bearer token")
    .option("--timeout <seconds>", "limit for each entry", parseSeconds, 10)
    .option("--json", "print JSON");
}

/** Parses a whole number that is not negative. */
export function parseWholeNumber(text: string): number {
  if (/^\d{1,15}$/.test(text)) return Number(text);
  throw new InvalidArgumentError("Write a whole number.");
}

function parseSeconds(text: string): number {
  const seconds = Number(text);
  if (seconds > 0 && seconds <= 3600) return seconds;
  throw new InvalidArgumentError("Write seconds, above 0 and at most 3600.");
}

function appendValue(text: string, before: string[] = []): string[] {
  return [...before, text];
}
