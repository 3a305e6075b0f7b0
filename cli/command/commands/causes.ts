/**
 * Command `causes`: counts the jobs that were refused, failed or began late by
 * priority and cause.
 *
 * @module
 */

import { findJobCauses } from "../job_causes.ts";
import type { JobCause } from "../job_causes.ts";
import { readLogLines, sortByTime } from "../log_lines.ts";
import { formatTable } from "../output.ts";
import { parseWholeNumber } from "./register.ts";
import type { CommandRegistration } from "./register.ts";

/** Milliseconds after which a start is late by default. */
const DEFAULT_LATE = 300;
/** Ids that a row of the table shows. */
const SHOWN_IDS = 2;

/** Registers the command. */
export const registerCauses: CommandRegistration = (
  { program, dependencies },
) => {
  program.command("causes [files...]")
    .description(
      "Count the jobs of the users' platform that were refused, failed, " +
        "began late or lost runs with workers that crashed, by priority " +
        "and cause, from the log lines of all processes in files or " +
        "standard input.",
    )
    .option(
      "--late <milliseconds>",
      "wait for the first start from which a job is late",
      parseWholeNumber,
      DEFAULT_LATE,
    )
    .option("--json", "print JSON, a job each")
    .action(
      async (files: string[], options: { late: number; json?: boolean }) => {
        const sources = files.length === 0 ? ["-"] : files;
        const texts = await Promise.all(sources.map(dependencies.readFile));
        const lines = sortByTime(texts.flatMap((text) => readLogLines(text)));
        const causes = findJobCauses(lines, options);
        dependencies.write(
          options.json
            ? `${JSON.stringify(causes, undefined, 2)}\n`
            : formatCauses(causes),
        );
      },
    );
};

/** Returns a table with a row for each priority, trouble and cause. */
function formatCauses(causes: JobCause[]): string {
  if (causes.length === 0) return "No job was refused, failed or began late.\n";
  const rows = new Map<string, JobCause[]>();
  for (const cause of causes) {
    const key = `${cause.priority ?? "-"} ${cause.trouble} ${cause.cause}`;
    rows.set(key, [...rows.get(key) ?? [], cause]);
  }
  const sorted = [...rows].sort(([a], [b]) => a < b ? -1 : 1);
  const table = formatTable({
    keys: ["cause", "priority", "trouble", "jobs", "longestWait", "ids"],
    rows: sorted.map(([, jobs]) => ({
      cause: jobs[0]!.cause,
      priority: jobs[0]!.priority,
      trouble: jobs[0]!.trouble,
      jobs: jobs.length,
      longestWait: Math.max(...jobs.map((job) => job.wait ?? 0)),
      ids: jobs.slice(0, SHOWN_IDS).map((job) => job.job),
    })),
  });
  return `${table}\n`;
}
