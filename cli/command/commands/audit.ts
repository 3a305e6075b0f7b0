/**
 * Command `audit`.
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

/** Keys that need a label to be told apart. */
const labels = new Set(["team", "worker", "job", "actor"]);

const FILTERS = ["team", "worker", "kind", "since", "until"] as const;

type AuditOptions =
  & ClientOptions
  & { follow?: boolean }
  & Partial<Record<typeof FILTERS[number], string>>;

const FOLLOW_INTERVAL: Milliseconds = SECOND;

/** Adds the command. */
export const registerAudit: CommandRegistration = (
  { program, dependencies },
) => {
  addClientOptions(program.command("audit"))
    .description("Show recorded changes, filtered.")
    .option("--team <name>", "changes of one team")
    .option("--worker <id>", "changes of one worker")
    .option("--kind <kind>", "changes of one kind")
    .option("--since <time>", "ISO 8601, such as 2026-12-04T08:00Z", parseTime)
    .option("--until <time>", "ISO 8601, such as 2026-12-04T09:00Z", parseTime)
    .option("--follow", "go on with new records until interrupted")
    .action(async (options: AuditOptions) => {
      await printRecords(dependencies, options);
    });
};

/** Prints each record once, and with `--follow` those that come later. */
async function printRecords(
  dependencies: Dependencies,
  options: AuditOptions,
): Promise<void> {
  const client = await createClient({ dependencies, options });
  const format = options.json ? JSON.stringify : formatRecord;
  const filters = { ...options };
  let shown = new Set<string>();
  do {
    const path = auditPath(filters);
    const { body } = await client({ method: "GET", path, repeatable: true });
    const records = asList(body, "records");
    for (const record of records) {
      if (shown.has(JSON.stringify(record))) continue;
      dependencies.write(`${format(record)}\n`);
    }
    const last = records.at(-1)?.["time"];
    if (typeof last !== "string") continue;
    // The bound is inclusive, so that the latest records come again.
    filters.since = last;
    shown = new Set(records.map((record) => JSON.stringify(record)));
  } while (options.follow && await dependencies.wait?.(FOLLOW_INTERVAL));
}

/** A line of who did what, and the reason below it, which may be long. */
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

function auditPath(options: AuditOptions): string {
  const query = new URLSearchParams();
  for (const filter of FILTERS) {
    const value = options[filter];
    if (value !== undefined) query.set(filter, value);
  }
  return query.size === 0 ? "/v1/audit" : `/v1/audit?${query}`;
}

function parseTime(text: string): string {
  const time = new Date(text);
  if (/^\d{4}-\d\d-\d\d/.test(text) && !Number.isNaN(time.getTime())) {
    return time.toISOString();
  }
  throw new InvalidArgumentError("Write a time in ISO 8601.");
}
