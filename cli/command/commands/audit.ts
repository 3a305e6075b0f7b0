/**
 * Command `audit`.
 *
 * @module
 */

import { InvalidArgumentError } from "commander";
import type { RemoteFlags } from "../client.ts";
import { asList, formatValue, wrap } from "../output.ts";
import type { Fields } from "../output.ts";
import { show } from "../show.ts";
import { remote } from "./register.ts";
import type { Register } from "./register.ts";

/** Keys that need a label to be told apart. */
const labels = new Set(["team", "worker", "job", "actor"]);

const FILTERS = ["team", "worker", "kind", "since", "until"] as const;

type AuditFlags =
  & RemoteFlags
  & Partial<
    Record<typeof FILTERS[number], string>
  >;

/** Adds the command. */
export const registerAudit: Register = ({ program, dependencies }) => {
  remote(program.command("audit"))
    .description("Show recorded changes, filtered.")
    .option("--team <name>", "changes of one team")
    .option("--worker <id>", "changes of one worker")
    .option("--kind <kind>", "changes of one kind")
    .option("--since <time>", "ISO 8601, such as 2026-12-04T08:00Z", parseTime)
    .option("--until <time>", "ISO 8601, such as 2026-12-04T09:00Z", parseTime)
    .action(async (options: AuditFlags) => {
      await show({
        dependencies,
        options,
        call: { method: "GET", path: auditPath(options), repeatable: true },
        format: (body) => asList(body, "records").map(formatRecord).join("\n"),
      });
    });
};

/** A line of who did what, and the reason below it, which may be long. */
function formatRecord(record: Fields): string {
  const parts = ["time", "kind", "team", "worker", "job", "actor"]
    .filter((key) => record[key] !== undefined && record[key] !== "")
    .map((key) =>
      labels.has(key)
        ? `${key}=${formatValue(record[key])}`
        : formatValue(record[key])
    );
  const { reason } = record;
  const lines = [wrap(parts.join("  "))];
  if (reason !== undefined && reason !== "") {
    lines.push(wrap(formatValue(reason)).replace(/^/gm, "  "));
  }
  return lines.join("\n");
}

function auditPath(options: AuditFlags): string {
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
