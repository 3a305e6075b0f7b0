/**
 * `config check` and `config diff` for configurations of the platform.
 *
 * @module
 */

import type { Dependencies } from "../dependencies.ts";
import { CommandFailure } from "../failure.ts";
import { sanitizeLine } from "../output.ts";
import { readJson } from "../read_document.ts";
import { checkPlatformConfiguration, Severity } from "./check.ts";
import type { CheckResult, Finding } from "./check.ts";
import { formatDifference, listDifferences } from "./differences.ts";
import { toFleet } from "./fleet.ts";
import { readPlatformDocument } from "./read.ts";

/**
 * Checks a file and prints all findings. Throws a `CommandFailure` if any of
 * them is an error.
 */
export async function checkPlatformFile(fields: {
  path: string;
  /** File that describes the workers; undefined without one. */
  fleet?: string;
  json: boolean;
  dependencies: Dependencies;
}): Promise<void> {
  const { path, json, dependencies } = fields;
  const value = await readPlatformDocument(path, dependencies);
  const fleet = fields.fleet === undefined
    ? undefined
    : toFleet(await readJson(fields.fleet, dependencies), fields.fleet);
  const result = checkPlatformConfiguration({ value, fleet });
  const errors = countErrors(result);
  const { configuration, findings, notDone } = result;
  if (json) {
    const { version } = configuration;
    const valid = errors === 0;
    writeJson({ version, valid, findings, notDone }, dependencies);
  } else {
    const lines = [
      ...findings.map(formatFinding),
      ...notDone.map((check) => `not checked without --fleet: ${check}`),
    ];
    dependencies.write(lines.map((line) => `${line}\n`).join(""));
  }
  if (errors > 0) throw refused(path, errors);
  if (json) return;
  const { version, queues, services, teams } = configuration;
  dependencies.write(
    `${path} is valid: version ${version}, ${queues.length} queues, ` +
      `${services.length} services, ${teams.length} teams.\n`,
  );
}

/**
 * Prints how a file differs from the configuration in force, which another file
 * holds. Throws a `CommandFailure` if its version would not replace that one.
 */
export async function diffPlatformFiles(fields: {
  path: string;
  inForce: string;
  json: boolean;
  dependencies: Dependencies;
}): Promise<void> {
  const { path, inForce, json, dependencies } = fields;
  const [before, after] = await Promise.all(
    [inForce, path].map(async (each) => {
      const value = await readPlatformDocument(each, dependencies);
      return checkPlatformConfiguration({ value });
    }),
  );
  if (!before!.readable) throw refused(inForce, countErrors(before!));
  if (!after!.readable) throw refused(path, countErrors(after!));
  const from = before!.configuration;
  const to = after!.configuration;
  const differences = listDifferences(from, to);
  if (json) {
    const versions = { inForce: from.version, version: to.version };
    writeJson({ ...versions, differences }, dependencies);
  } else {
    const lines = [
      `Version ${from.version} is in force, ${to.version} would replace it; ` +
      `${differences.length} differences.`,
      ...differences.map(formatDifference),
    ];
    const text = lines.map((line) => `${sanitizeLine(line)}\n`).join("");
    dependencies.write(text);
  }
  if (to.version > from.version) return;
  throw new CommandFailure({
    exit: "Conflict",
    step: "diff",
    peer: path,
    message: `version ${to.version} does not replace ${from.version}`,
    hint: "Entries take a version only if it is above the one in force.",
  });
}

function countErrors({ findings }: CheckResult): number {
  return findings.filter(({ severity }) => severity === Severity.Error).length;
}

function formatFinding({ severity, path, text }: Finding): string {
  const place = path === "" ? "the document" : path;
  return sanitizeLine(`${severity}: ${place} ${text}`);
}

function writeJson(value: unknown, { write }: Dependencies): void {
  write(`${JSON.stringify(value, undefined, 2)}\n`);
}

function refused(path: string, errors: number): CommandFailure {
  return new CommandFailure({
    exit: "Invalid",
    step: "check",
    peer: path,
    message: `${path} has ${errors} errors`,
    hint: "Run config check with --platform to list them.",
  });
}
