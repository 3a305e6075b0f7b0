/**
 * Command `explain`: collects the log lines about one request or job.
 *
 * @module
 */

import { readLogLines, sortByTime } from "../log_lines.ts";
import type { LogLine } from "../log_lines.ts";
import { formatValue } from "../output.ts";
import type { CommandRegistration } from "./register.ts";

/** Registers the command. */
export const registerExplain: CommandRegistration = (
  { program, dependencies },
) => {
  program.command("explain <id> [files...]")
    .description(
      "Print the log lines of all processes about a request or job in order, " +
        "from files or standard input.",
    )
    .action(async (id: string, files: string[]) => {
      const sources = files.length === 0 ? ["-"] : files;
      const texts = await Promise.all(sources.map(dependencies.readFile));
      const lines = sortByTime(
        texts.flatMap((text) => readLogLines(text, id)),
      );
      dependencies.write(
        lines.length === 0
          ? `No line names ${formatValue(id)}.\n`
          : `${lines.map(formatLine).join("\n")}\n`,
      );
    });
};

function formatLine(line: LogLine): string {
  const fields = Object.entries(line.fields)
    .map(([name, value]) => `${name}=${formatValue(value)}`)
    .join(" ");
  return `${line.time} ${line.node} ${formatValue(line.text)} ${fields}`;
}
