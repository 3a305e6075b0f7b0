/**
 * Command `explain`: collects the log lines about one request or job.
 *
 * @module
 */

import { formatValue } from "../output.ts";
import type { CommandRegistration } from "./register.ts";

/** Fields of every line that are printed elsewhere or not at all. */
const OMITTED_FIELDS = [
  "name",
  "hostname",
  "pid",
  "level",
  "v",
  "msg",
  "time",
  "part",
];

/** A parsed log line. */
interface LogLine {
  time: string;
  node: string;
  text: string;
  /** Fields that are not in OMITTED_FIELDS. */
  fields: Record<string, unknown>;
}

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
      const lines = texts.flatMap((text) => findLines(text, id))
        .sort((a, b) => a.time < b.time ? -1 : a.time > b.time ? 1 : 0);
      dependencies.write(
        lines.length === 0
          ? `No line names ${formatValue(id)}.\n`
          : `${lines.map(formatLine).join("\n")}\n`,
      );
    });
};

/**
 * Returns the JSON lines that contain the id. Text before the JSON, such as a
 * time and the name of the process, is ignored.
 */
function findLines(text: string, id: string): LogLine[] {
  return text.split("\n").flatMap((raw) => {
    const start = raw.indexOf("{");
    if (start < 0 || !raw.includes(id)) return [];
    try {
      return [toLine(JSON.parse(raw.slice(start)))];
    } catch {
      // Lines of other programs may not be JSON and are skipped.
      return [];
    }
  });
}

/** Returns a parsed JSON line as a log line. */
function toLine(record: Record<string, unknown>): LogLine {
  const fields = Object.fromEntries(
    Object.entries(record)
      .filter(([name]) => !OMITTED_FIELDS.includes(name) && name !== "node"),
  );
  return {
    time: String(record.time),
    node: String(record.node ?? record.hostname ?? ""),
    text: String(record.msg),
    fields,
  };
}

function formatLine(line: LogLine): string {
  const fields = Object.entries(line.fields)
    .map(([name, value]) => `${name}=${formatValue(value)}`)
    .join(" ");
  return `${line.time} ${line.node} ${formatValue(line.text)} ${fields}`;
}
