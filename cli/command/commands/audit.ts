/**
 * Command `audit`: prints the records of the audit trail.
 *
 * @module
 */

import { InvalidArgumentError } from "commander";
import { SECOND } from "@dragonflyledge/model";
import type { Milliseconds } from "@dragonflyledge/model";
import { createClient } from "../client.ts";
import type { ClientOptions } from "../client.ts";
import type { Dependencies } from "../dependencies.ts";
import { asList, formatValue, wrapText } from "../output.ts";
import type { JsonObject } from "../output.ts";
import { addClientOptions } from "./register.ts";
import type { CommandRegistration } from "./register.ts";

/** Keys whose values are printed as `key=value`, to tell names apart. */
const labels = new Set(["team", "worker", "job", "actor"]);

/** Options that become query parameters of the same name. */
const FILTERS = ["team", "worker", "kind", "since", "until"] as const;

type AuditOptions =
  & ClientOptions
  & { follow?: boolean }
  & Partial<Record<typeof FILTERS[number], string>>;

/** Time between two polls with `--follow`. */
const FOLLOW_INTERVAL: Milliseconds = SECOND;

/** Registers the command. */
export const registerAudit: CommandRegistration = (
  { program, dependencies },
) => {
  addClientOptions(program.command("audit"))
    .description("Show recorded changes that match the filters.")
    .option("--team <name>", "changes of one team")
    .option("--worker <id>", "changes of one worker")
    .option("--kind <kind>", "changes of one kind")
    .option("--since <time>", "ISO 8601, such as 2026-12-04T08:00Z", parseTime)
    .option("--until <time>", "ISO 8601, such as 2026-12-04T09:00Z", parseTime)
    .option("--follow", "also print new records until interrupted")
    .action(async (options: AuditOptions) => {
      await printRecords(dependencies, options);
    });
};

/** Prints each record once; with `--follow`, also records that come later. */
async function printRecords(
  dependencies: Dependencies,
  options: AuditOptions,
): Promise<void> {
  const client = await createClient({ dependencies, options });
  const format = options.json ? JSON.stringify : formatRecord;
  const filters = { ...options };
  let printed = new Set<string>();
  do {
    const path = auditPath(filters);
    const { body } = await client({ method: "GET", path, repeatable: true });
    const records = asList(body, "records");
    for (const record of records) {
      if (printed.has(JSON.stringify(record))) continue;
      dependencies.write(`${format(record)}\n`);
    }
    const last = records.at(-1)?.["time"];
    if (typeof last !== "string") continue;
    // The lower bound is inclusive, so the next answer repeats the records of
    // this time.
    filters.since = last;
    printed = new Set(records.map((record) => JSON.stringify(record)));
  } while (options.follow && await dependencies.wait?.(FOLLOW_INTERVAL));
}

/**
 * Returns a record as text: time, kind and the names concerned, and the reason
 * indented on the next lines.
 */
function formatRecord(record: JsonObject): string {
  const parts = ["time", "kind", "team", "worker", "job", "actor"]
    .filter((key) => record[key] !== undefined && record[key] !== "")
    .map((key) =>
      labels.has(key)
        ? `${key}=${formatValue(record[key])}`
        : formatValue(record[key])
    );
  const { reason } = record;
  const lines = [wrapText(parts.join("  "))];
  if (reason !== undefined && reason !== "") {
    lines.push(wrapText(formatValue(reason)).replace(/^/gm, "  "));
  }
  return lines.join("\n");
}

/** Returns the path with the filters as query. */
function auditPath(options: AuditOptions): string {
  const query = new URLSearchParams();
  for (const filter of FILTERS) {
    const value = options[filter];
    if (value !== undefined) query.set(filter, value);
  }
  return query.size === 0 ? "/v1/audit" : `/v1/audit?${query}`;
}

/** Returns a time of ISO 8601 in UTC, as the HTTP API expects it. */
function parseTime(text: string): string {
  const time = new Date(text);
  if (/^\d{4}-\d\d-\d\d/.test(text) && !Number.isNaN(time.getTime())) {
    return time.toISOString();
  }
  throw new InvalidArgumentError("Write a time in ISO 8601.");
}
