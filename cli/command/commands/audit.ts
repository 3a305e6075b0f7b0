/**
 * Command `audit`.
 *
 * @module
 */

import { InvalidArgumentError } from "commander";
import type { RemoteFlags } from "../client.ts";
import { asList, formatTable } from "../output.ts";
import { show } from "../show.ts";
import { remote } from "./register.ts";
import type { Register } from "./register.ts";

const FILTERS = ["team", "worker", "kind", "since", "until"] as const;
const KEYS = ["at", "kind", "team", "worker", "job", "actor", "reason"];

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
        format: (body) =>
          formatTable({ rows: asList(body, "records"), keys: KEYS }),
      });
    });
};

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
