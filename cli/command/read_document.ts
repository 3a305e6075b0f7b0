/**
 * Reads JSON files and configurations.
 *
 * @module
 */

import { ErrorCode } from "@dragonflyledge/model";
import type { Configuration } from "@dragonflyledge/model";
import { formatProblem, parseConfiguration } from "@dragonflyledge/schema";
import type { Problem } from "@dragonflyledge/schema";
import type { Dependencies } from "./dependencies.ts";
import { CommandFailure } from "./failure.ts";

/**
 * Reads a JSON file. Throws a `CommandFailure` if the file is not readable or
 * not JSON.
 */
export async function readJson(
  path: string,
  dependencies: Dependencies,
): Promise<unknown> {
  const step = "read";
  let text: string;
  try {
    text = await dependencies.readFile(path);
  } catch (cause) {
    const message = `cannot read ${path}: ${(cause as Error).message}`;
    throw new CommandFailure({
      exit: "Usage",
      step,
      peer: path,
      message,
      cause,
    });
  }
  try {
    return JSON.parse(text);
  } catch (cause) {
    const message = `${path} is not JSON: ${(cause as Error).message}`;
    const hint = "Create the file with config print.";
    throw new CommandFailure({
      exit: "Invalid",
      step,
      peer: path,
      message,
      hint,
      cause,
    });
  }
}

/**
 * Reads and checks a configuration file. Throws a `CommandFailure` if it is not
 * readable or invalid.
 */
export async function readConfiguration(
  path: string,
  dependencies: Dependencies,
): Promise<Configuration> {
  return checkConfiguration(await readJson(path, dependencies), path);
}

/**
 * Returns the value as a configuration. Throws a `CommandFailure` that lists
 * all problems if it is invalid. `peer` is the file or entry that it comes from.
 */
export function checkConfiguration(
  value: unknown,
  peer: string,
): Configuration {
  const result = parseConfiguration({ value });
  if (result.isOk()) return result.value;
  throw invalid(result.error, peer);
}

/** Returns the failure for an invalid configuration, with all its problems. */
export function invalid(
  problems: Problem[],
  peer: string,
): CommandFailure {
  return new CommandFailure({
    exit: "Invalid",
    code: ErrorCode.Configuration,
    step: "check",
    peer,
    message: [`${peer} is refused`, ...problems.map(formatProblem)].join("\n"),
  });
}
