/**
 * Reads the JSON log lines of the programs.
 *
 * @module
 */

/** Fields of every line that are read elsewhere or not at all. */
const OMITTED_FIELDS = [
  "name",
  "hostname",
  "node",
  "pid",
  "level",
  "v",
  "msg",
  "time",
  "part",
];

/** A parsed log line. */
export interface LogLine {
  /** ISO time. */
  time: string;
  node: string;
  /** Message with the prefix of its part. */
  text: string;
  /** Fields that not every line has. */
  fields: Record<string, unknown>;
}

/**
 * Returns the JSON lines of which the raw text contains `word`, in the order of
 * the text. Text before the JSON, such as a time and the name of the process,
 * is ignored.
 */
export function readLogLines(text: string, word = ""): LogLine[] {
  return text.split("\n").flatMap((raw) => {
    const start = raw.indexOf("{");
    if (start < 0 || !raw.includes(word)) return [];
    try {
      return [toLine(JSON.parse(raw.slice(start)))];
    } catch {
      // Lines of other programs may not be JSON and are skipped.
      return [];
    }
  });
}

/** Orders lines by time; those of the same time keep their order. */
export function sortByTime(lines: LogLine[]): LogLine[] {
  return lines.sort((a, b) => a.time < b.time ? -1 : a.time > b.time ? 1 : 0);
}

/** Returns a parsed JSON line as a log line. */
function toLine(record: Record<string, unknown>): LogLine {
  const fields = Object.fromEntries(
    Object.entries(record).filter(([name]) => !OMITTED_FIELDS.includes(name)),
  );
  return {
    time: String(record.time),
    node: String(record.node ?? record.hostname ?? ""),
    text: String(record.msg),
    fields,
  };
}
