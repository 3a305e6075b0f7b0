/**
 * Output that people read, at 80 columns.
 *
 * @module
 */

const WIDTH = 80;
const COLUMN_GAP = 2;
/** Longer cells of the first column get a line of their own. */
const MAX_FIRST_COLUMN_WIDTH = 28;

/** JSON object from an entry. */
export type JsonObject = Record<string, unknown>;

/** Returns the value as an object, or an empty one. */
export function asObject(value: unknown): JsonObject {
  const object = typeof value === "object" && value !== null;
  return object && !Array.isArray(value) ? value as JsonObject : {};
}

/** Returns the list itself or the list under `key`. */
export function asList(value: unknown, key: string): JsonObject[] {
  const list = Array.isArray(value) ? value : asObject(value)[key];
  return Array.isArray(list) ? list.map(asObject) : [];
}

/** Replaces control characters, which could rewrite the terminal. */
export function sanitizeLine(text: string): string {
  return text.replace(/\s+/g, " ").replace(/\p{Cc}/gu, "?").trim();
}

/** Returns a value as the text of one cell. */
export function formatValue(value: unknown): string {
  if (value === undefined || value === null || value === "") return "-";
  if (typeof value === "boolean") return value ? "yes" : "no";
  if (Array.isArray(value)) return value.map(formatValue).join(", ") || "-";
  if (typeof value === "object") {
    const members = Object.entries(value);
    return members.map(([key, each]) =>
      `${sanitizeLine(key)} ${formatValue(each)}`
    )
      .join(", ") || "-";
  }
  return sanitizeLine(String(value));
}

/** Wraps text at spaces. */
export function wrapText(text: string): string {
  const lines: string[] = [];
  for (const word of sanitizeLine(text).split(" ")) {
    const line = lines.at(-1);
    if (line !== undefined && line.length + 1 + word.length <= WIDTH) {
      lines[lines.length - 1] = `${line} ${word}`;
    } else lines.push(word);
  }
  return lines.join("\n");
}

/**
 * Returns a table. The first column is never cut, since it holds the name to
 * use in other commands; titles are not cut either, and numbers are aligned
 * to the right.
 */
export function formatTable(fields: { rows: JsonObject[]; keys: string[] }) {
  const titles = fields.keys.map(columnTitle);
  const cells = fields.rows.map((row) =>
    fields.keys.map((key) => formatValue(row[key]))
  );
  const numeric = titles.map((_, column) =>
    cells.length > 0 && cells.every((row) => /^-?[\d.]*$/.test(row[column]!))
  );
  const widths = fitWidths(titles, cells);
  return [titles, ...cells].flatMap(([first = "", ...rest]) => {
    const long = first.length > widths[0]!;
    const line = [long ? "" : first, ...rest].map((cell, column) => {
      const width = widths[column]!;
      const shown = truncate(cell, width);
      return numeric[column] ? shown.padStart(width) : shown.padEnd(width);
    }).join(" ".repeat(COLUMN_GAP)).trimEnd();
    return long ? [first, line] : [line];
  }).join("\n");
}

/** Returns `key: value` lines. */
export function formatFields(value: JsonObject): string {
  return Object.entries(value).map(([key, member]) =>
    wrapText(`${columnTitle(key).toLowerCase()}: ${formatValue(member)}`)
  ).join("\n");
}

function columnTitle(key: string): string {
  return sanitizeLine(key).replace(/([a-z])([A-Z])/g, "$1 $2").toUpperCase();
}

function truncate(cell: string, width: number): string {
  return cell.length <= width ? cell : `${cell.slice(0, width - 3)}...`;
}

/** Takes from the column with most room above its title until lines fit. */
function fitWidths(titles: string[], cells: string[][]): number[] {
  const widths = titles.map((text, column) =>
    Math.max(text.length, ...cells.map((row) => row[column]!.length))
  );
  widths[0] = Math.min(widths[0] ?? 0, MAX_FIRST_COLUMN_WIDTH);
  const total = () =>
    widths.reduce(
      (sum, width) => sum + width,
      (widths.length - 1) * COLUMN_GAP,
    );
  while (total() > WIDTH) {
    const spare = widths.map((width, column) =>
      column === 0 ? 0 : width - titles[column]!.length
    );
    const most = Math.max(...spare);
    if (most <= 0) break;
    widths[spare.indexOf(most)]! -= 1;
  }
  return widths;
}
