/**
 * Command `config submit`: puts a configuration in force.
 *
 * @module
 */

import { ErrorCode } from "@dragonflyledge/model";
import type { Configuration } from "@dragonflyledge/model";
import { diffConfigurations, formatChange } from "@dragonflyledge/schema";
import { createClient } from "../client.ts";
import type { ApiAnswer, Client, ClientOptions } from "../client.ts";
import { fetchConfiguration } from "../current_configuration.ts";
import { CommandFailure } from "../failure.ts";
import { asObject, formatValue } from "../output.ts";
import { readConfiguration } from "../read_document.ts";
import {
  addClientOptions,
  findOrAddGroup,
  parseWholeNumber,
} from "./register.ts";
import type { CommandRegistration } from "./register.ts";

interface SubmitOptions extends ClientOptions {
  /** Version that must be in force. */
  expect: number;
}

/** Registers the command. */
export const registerConfigSubmit: CommandRegistration = (
  { program, dependencies },
) => {
  addClientOptions(findOrAddGroup(program, "config").command("submit <file>"))
    .description(
      "Put a configuration in force unless it was changed meanwhile.",
    )
    .requiredOption(
      "--expect <version>",
      "version that the change is based on, as config diff shows it",
      parseWholeNumber,
    )
    .action(async (path: string, options: SubmitOptions) => {
      const document = await readConfiguration(path, dependencies);
      const client = await createClient({ dependencies, options });
      const { version, note } = await submit(client, document, options.expect);
      dependencies.write(
        options.json
          ? `${JSON.stringify({ version }, undefined, 2)}\n`
          : `Configuration version ${version} ${note}.\n`,
      );
    });
};

/**
 * Submits the document as version `expect + 1` if version `expect` is in force.
 * Because of this condition the call may be repeated at another entry. Throws a
 * `CommandFailure` that lists the differences if another version is in force.
 */
async function submit(
  client: Client,
  document: Configuration,
  expect: number,
): Promise<{ version: unknown; note: string }> {
  const submitted = { ...document, version: expect + 1 };
  const answer = await client({
    method: "PUT",
    path: "/v1/configuration",
    headers: { "if-match": String(expect) },
    body: submitted,
    repeatable: true,
    expected: [409],
  });
  if (answer.status !== 409) {
    return { version: asObject(answer.body)["version"], note: "is accepted" };
  }
  // The entry that refused is asked first: other entries may still have an
  // older version.
  const current = await fetchConfiguration(client, answer.entry)
    .catch(() => undefined);
  if (current === undefined) throw conflictFromAnswer(answer, expect);
  const changes = diffConfigurations({ before: current, after: submitted });
  // An earlier attempt may have been stored although its answer was lost.
  if (changes.length === 0 && current.version > expect) {
    return { version: current.version, note: "holds this document already" };
  }
  throw conflict(
    answer,
    current.version,
    expect,
    changes.map(formatChange),
  );
}

/**
 * Returns the conflict from the refusal alone, for when the configuration in
 * force cannot be fetched.
 */
function conflictFromAnswer(answer: ApiAnswer, expect: number): CommandFailure {
  const { current, differences } = asObject(answer.body);
  const version = Number(asObject(current)["version"] ?? current);
  const list = Array.isArray(differences) ? differences : [];
  return conflict(answer, version, expect, list.map(formatValue));
}

/**
 * Returns the failure for a version conflict. Its outcome is unknown if an
 * earlier attempt may have been stored and replaced since.
 */
function conflict(
  answer: ApiAnswer,
  version: number,
  expect: number,
  differences: string[],
): CommandFailure {
  const author = formatValue(asObject(answer.body)["author"]);
  // A stored earlier attempt would be version expect + 1, so its outcome is
  // uncertain only if another version is in force.
  const uncertain = answer.uncertain && version !== expect + 1;
  const lines = [
    `version ${version} by ${author} is in force, not version ${expect}; ` +
    "your file differs from it:",
    ...differences,
  ];
  if (uncertain) {
    lines.push(`An earlier attempt may have become version ${expect + 1}.`);
  }
  return new CommandFailure({
    exit: uncertain ? "Unknown" : "Conflict",
    code: ErrorCode.ConfigurationConflict,
    step: "submit",
    peer: answer.entry,
    message: lines.join("\n"),
    hint: `Apply your change to version ${version}, then use --expect ` +
      `${version}.`,
  });
}
