/**
 * Command `status`.
 *
 * @module
 */

import type { RemoteFlags } from "../client.ts";
import { asFields, asList, formatTable, formatValue } from "../output.ts";
import type { Fields } from "../output.ts";
import { show } from "../show.ts";
import { remote } from "./register.ts";
import type { Register } from "./register.ts";

interface StatusFlags extends RemoteFlags {
  workers?: boolean;
}

const TEAM_KEYS = [
  "name",
  "guaranteed",
  "held",
  "borrowed",
  "lent",
  "queued",
];

/** Adds the command. */
export const registerStatus: Register = ({ program, dependencies }) => {
  remote(program.command("status"))
    .description("Show teams, workers, entries and versions.")
    .option("--workers", "list every worker")
    .action(async (options: StatusFlags) => {
      await show({
        dependencies,
        options,
        call: { method: "GET", path: "/v1/status", repeatable: true },
        format: (body) => formatStatus(asFields(body), options),
      });
    });
};

function formatStatus(status: Fields, options: StatusFlags): string {
  const workers = asList(status["workers"], "workers");
  const teams = asList(status["teams"], "teams");
  const entries = asList(status["entries"], "entries");
  const parts = [
    `Entry ${formatValue(status["entry"])} at ${formatValue(status["at"])}\n` +
    `Versions: ${formatValue(status["versions"])}\n` +
    `Ages of data: ${formatValue(status["ages"])}`,
    formatTable({ rows: teams, keys: TEAM_KEYS }),
    formatTable({ rows: entries, keys: keysOf(entries, "id") }),
    options.workers
      ? formatTable({ rows: workers, keys: keysOf(workers, "worker") })
      : `Workers: ${workers.length}${countStates(workers)}`,
  ];
  return parts.join("\n\n");
}

/** Keys of all rows, the identity first. */
function keysOf(rows: Fields[], identity: string): string[] {
  const keys = new Set(rows.flatMap((row) => Object.keys(row)));
  const first = [identity, "id", "name"].find((key) => keys.has(key));
  return first === undefined ? [...keys] : [...new Set([first, ...keys])];
}

function countStates(workers: Fields[]): string {
  const counts: Record<string, number> = {};
  for (const { state } of workers) {
    if (state === undefined) continue;
    const name = formatValue(state);
    counts[name] = (counts[name] ?? 0) + 1;
  }
  const text = formatValue(counts);
  return text === "-" ? "" : ` (${text})`;
}
