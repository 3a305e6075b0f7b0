/**
 * Command `config check`: checks a configuration file without an entry.
 *
 * @module
 */

import type { Inventory } from "@dragonflyledge/model";
import { CONFIGURATION_KEY } from "@dragonflyledge/platform";
import { checkFit } from "@dragonflyledge/schema";
import { CommandFailure } from "../failure.ts";
import { asList, asObject } from "../output.ts";
import { checkPlatformFile } from "../platform/commands.ts";
import { invalid, readConfiguration, readJson } from "../read_document.ts";
import { findOrAddGroup } from "./register.ts";
import type { CommandRegistration } from "./register.ts";

interface CheckOptions {
  inventories?: string;
  platform?: boolean;
  fleet?: string;
  json?: boolean;
}

/** Registers the command. */
export const registerConfigCheck: CommandRegistration = (
  { program, dependencies },
) => {
  findOrAddGroup(program, "config").command("check <file>")
    .description("Check a configuration without an entry.")
    .option(
      "--inventories <file>",
      "JSON list of workers on which the guarantees must fit",
    )
    .option("--platform", `the file is a value of ${CONFIGURATION_KEY}`)
    .option(
      "--fleet <file>",
      "with --platform: JSON list of workers to check against",
    )
    .option("--json", "with --platform: print JSON")
    .action(async (path: string, options: CheckOptions) => {
      const { platform, fleet, json = false } = options;
      if (platform) {
        return await checkPlatformFile({ path, fleet, json, dependencies });
      }
      if (fleet !== undefined || json) throw needsPlatform(path);
      const configuration = await readConfiguration(path, dependencies);
      if (options.inventories !== undefined) {
        const list = await readJson(options.inventories, dependencies);
        const inventories = toInventories(list, options.inventories);
        const fit = checkFit({ configuration, inventories });
        if (fit.isErr()) throw invalid(fit.error, path);
      }
      const { teams, classes, services } = configuration;
      dependencies.write(
        `${path} is valid: ${teams.length} teams, ${classes.length} ` +
          `classes, ${services.length} services.\n`,
      );
    });
};

function needsPlatform(peer: string): CommandFailure {
  return new CommandFailure({
    exit: "Usage",
    step: "check",
    peer,
    message: "--fleet and --json need --platform",
  });
}

/**
 * Returns the value as inventories, or throws a `CommandFailure`. Only the
 * accelerators and the rack of each worker are checked.
 */
function toInventories(value: unknown, peer: string): Inventory[] {
  const list = asList(value, "workers");
  const complete = list.every((each) =>
    typeof asObject(each["capacity"])["accelerators"] === "number" &&
    typeof asObject(each["location"])["rack"] === "string"
  );
  if (complete && list.length > 0) return list as unknown as Inventory[];
  throw new CommandFailure({
    exit: "Invalid",
    step: "check",
    peer,
    message: `${peer} is not a list of workers`,
    hint: "Each worker needs capacity.accelerators and location.rack.",
  });
}
