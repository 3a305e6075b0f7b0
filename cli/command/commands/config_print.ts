/**
 * Command `config print`: prints the configuration that a module declares.
 *
 * @module
 */

import { printConfiguration } from "@dragonflyledge/declare";
import { StepError } from "@dragonflyledge/model";
import { CommandFailure } from "../failure.ts";
import { checkConfiguration } from "../read_document.ts";
import { findOrAddGroup } from "./register.ts";
import type { CommandRegistration } from "./register.ts";

/** Registers the command. */
export const registerConfigPrint: CommandRegistration = (
  { program, dependencies },
) => {
  findOrAddGroup(program, "config").command("print <module>")
    .description(
      "Print the configuration that a module exports as `configuration` or " +
        "as default.",
    )
    .action(async (path: string) => {
      const exported = await loadExports(path, dependencies.loadModule);
      const value = exported["configuration"] ?? exported["default"];
      dependencies.write(printConfiguration(checkConfiguration(value, path)));
    });
};

/** Returns the exports of a module, or throws a `CommandFailure`. */
async function loadExports(
  path: string,
  loadModule: (path: string) => Promise<Record<string, unknown>>,
) {
  try {
    return await loadModule(path);
  } catch (cause) {
    const declared = cause instanceof StepError ? cause : undefined;
    throw new CommandFailure({
      exit: declared ? "Invalid" : "Usage",
      code: declared?.code,
      step: "load",
      peer: path,
      message: `cannot load ${path}: ${(cause as Error).message}`,
      hint: declared?.hint ??
        "Name a compiled module, such as teams.js.",
      cause,
    });
  }
}
