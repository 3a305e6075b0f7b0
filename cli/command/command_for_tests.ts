/**
 * Runs command lines in tests, with files and configurations to run them on.
 *
 * @module
 */

import {
  configuration,
  printConfiguration,
  service,
  shape,
  team,
  tokenDigest,
  workClass,
} from "@dragonflyledge/declare";
import { runProgram } from "./mod.ts";
import { sendRequest } from "./send_request.ts";

/** Bearer token in the environment of the commands. */
export const TOKEN = "example-operator-token";

/** Returns a small valid configuration. */
export function exampleConfiguration(weight = 1) {
  const guarantees = [shape({ accelerators: 4, adjacency: "worker" })];
  const tokenDigests = [tokenDigest("example-token-of-the-lab")];
  return configuration({
    version: 7,
    teams: [team({ name: "lab", tokenDigests, guarantees, weight })],
    classes: [workClass({
      name: "plan",
      urgent: true,
      slotShare: 1,
      defaultDeadline: 900,
      queueLimit: 10,
    })],
    services: [service({ name: "planning", path: "/plan" })],
  });
}

/** Answer of an entry with its configuration. */
export const CURRENT_CONFIGURATION = {
  configuration: exampleConfiguration(),
  revision: 3,
};

/** A file whose configuration differs from the one of the entry. */
export const FILES = { "c.json": printConfiguration(exampleConfiguration(2)) };

/** Runs a command line with the files and the environment. */
export async function runCommand(
  line: string,
  files: Record<string, string> = {},
  environment: Record<string, string> = { DRAGONFLYLEDGE_TOKEN: TOKEN },
) {
  let output = "";
  let errors = "";
  const code = await runProgram({
    arguments: line.split(" "),
    dependencies: {
      write: (text) => output += text,
      writeError: (text) => errors += text,
      readFile: (path) => {
        const file = files[path];
        if (file === undefined) return Promise.reject(new Error("no file"));
        return Promise.resolve(file);
      },
      loadModule: (path) =>
        path === "teams.js"
          ? Promise.resolve({ default: exampleConfiguration() })
          : Promise.reject(new Error("no module")),
      send: sendRequest,
      environment,
    },
  });
  return { code, output, errors };
}
