/**
 * Command `status`: prints teams, workers, entries and versions.
 *
 * @module
 */

import type { ClientOptions } from "../client.ts";
import { asList, asObject, formatTable, formatValue } from "../output.ts";
import type { JsonObject } from "../output.ts";
import { printAnswer } from "../show.ts";
import { addClientOptions } from "./register.ts";
import type { CommandRegistration } from "./register.ts";

interface StatusOptions extends ClientOptions {
  workers?: boolean;
}

/** Columns of the table of teams. */
const TEAM_KEYS = [
  "name",
  "guaranteed",
  "held",
  "borrowed",
  "lent",
  "queued",
];

/** Registers the command. */
export const registerStatus: CommandRegistration = (
  { program, dependencies },
) => {
  addClientOptions(program.command("status"))
    .description("Show teams, workers, entries and versions.")
    .option("--workers", "list every worker")
    .action(async (options: StatusOptions) => {
      await printAnswer({
        dependencies,
        options,
        call: { method: "GET", path: "/v1/status", repeatable: true },
        format: (body) => formatStatus(asObject(body), options),
      });
    });
};

/** Returns the status as text: versions, teams, entries and workers. */
function formatStatus(status: JsonObject, options: StatusOptions): string {
  const workers = asList(status["workers"], "workers");
  const teams = asList(status["teams"], "teams");
  const entries = asList(status["entries"], "entries");
  const parts = [
    `Entry ${formatValue(status["entry"])} at ${formatValue(status["at"])}\n` +
    `Versions: ${formatValue(status["versions"])}\n` +
    `Ages of data: ${formatValue(status["ages"])}`,
    formatTable({ rows: teams, keys: TEAM_KEYS }),
    formatTable({ rows: entries, keys: columnKeys(entries, "id") }),
    options.workers
      ? formatTable({ rows: workers, keys: columnKeys(workers, "worker") })
      : `Workers: ${workers.length}${countStates(workers)}`,
  ];
  return parts.join("\n\n");
}

/** Returns the keys of all rows, with the one that identifies a row first. */
function columnKeys(rows: JsonObject[], identity: string): string[] {
  const keys = new Set(rows.flatMap((row) => Object.keys(row)));
  const first = [identity, "id", "name"].find((key) => keys.has(key));
  return first === undefined ? [...keys] : [...new Set([first, ...keys])];
}

/** Returns the number of workers by state, in parentheses. */
function countStates(workers: JsonObject[]): string {
  const counts: Record<string, number> = {};
  for (const { state } of workers) {
    if (state === undefined) continue;
    const name = formatValue(state);
    counts[name] = (counts[name] ?? 0) + 1;
  }
  const text = formatValue(counts);
  return text === "-" ? "" : ` (${text})`;
}
