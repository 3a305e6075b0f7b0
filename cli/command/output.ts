/**
 * Formats output for people, at a width of 80 columns.
 *
 * @module
 */

/** Columns of a line of output. */
const WIDTH = 80;
/** Spaces between two columns of a table. */
const COLUMN_GAP = 2;
/** A longer cell of the first column is printed on a line of its own. */
const MAX_FIRST_COLUMN_WIDTH = 28;

/** JSON object from an entry, whose members are not checked. */
export type JsonObject = Record<string, unknown>;

/** Returns the value if it is a JSON object, and an empty object otherwise. */
export function asObject(value: unknown): JsonObject {
  const object = typeof value === "object" && value !== null;
  return object && !Array.isArray(value) ? value as JsonObject : {};
}

/**
 * Returns the objects of a list, which is the value itself or its member `key`.
 * The result is empty if neither is a list.
 */
export function asList(value: unknown, key: string): JsonObject[] {
  const list = Array.isArray(value) ? value : asObject(value)[key];
  return Array.isArray(list) ? list.map(asObject) : [];
}

/**
 * Returns the text on one line with `?` for each control character, since
 * control characters could change what the terminal shows.
 */
export function sanitizeLine(text: string): string {
  return text.replace(/\s+/g, " ").replace(/\p{Cc}/gu, "?").trim();
}

/** Returns a value as one line of text; `-` stands for an empty value. */
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

/** Wraps text at spaces to lines of 80 columns. Longer words are not split. */
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
 * Returns a table with one column for each key. Cells are shortened to fit 80
 * columns, except those of the first column, which hold the name to use in
 * other commands, and the titles. Columns of numbers are aligned to the right.
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
    const ownLine = first.length > widths[0]!;
    const line = [ownLine ? "" : first, ...rest].map((cell, column) => {
      const width = widths[column]!;
      const shown = truncate(cell, width);
      return numeric[column] ? shown.padStart(width) : shown.padEnd(width);
    }).join(" ".repeat(COLUMN_GAP)).trimEnd();
    return ownLine ? [first, line] : [line];
  }).join("\n");
}

/** Returns one `key: value` line for each member, wrapped at 80 columns. */
export function formatFields(value: JsonObject): string {
  return Object.entries(value).map(([key, member]) =>
    wrapText(`${columnTitle(key).toLowerCase()}: ${formatValue(member)}`)
  ).join("\n");
}

/** Returns a camel case key as upper case words. */
function columnTitle(key: string): string {
  return sanitizeLine(key).replace(/([a-z])([A-Z])/g, "$1 $2").toUpperCase();
}

function truncate(cell: string, width: number): string {
  return cell.length <= width ? cell : `${cell.slice(0, width - 3)}...`;
}

/**
 * Returns the widths of the columns. While a line is too long, the column that
 * exceeds its title most becomes narrower; titles keep their full width.
 */
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
    const excess = widths.map((width, column) =>
      column === 0 ? 0 : width - titles[column]!.length
    );
    const largest = Math.max(...excess);
    if (largest <= 0) break;
    widths[excess.indexOf(largest)]! -= 1;
  }
  return widths;
}
