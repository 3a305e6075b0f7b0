/**
 * Canonical JSON: equal documents have equal text, and small changes give
 * small differences between lines.
 *
 * @module
 */

/**
 * Returns JSON with sorted keys and two-space indent. Lists whose members
 * all have a name are sorted by name, token digests by value; other lists
 * keep their order, because guarantees are referred to by index.
 */
export function canonicalJson(value: unknown): string {
  return JSON.stringify(arrange(value, ""), undefined, 2);
}

function arrange(value: unknown, key: string): unknown {
  if (Array.isArray(value)) return arrangeList(value, key);
  if (typeof value !== "object" || value === null) return value;
  const entries = Object.entries(value).sort(([a], [b]) => compare(a, b));
  return Object.fromEntries(
    entries.map(([name, member]) => [name, arrange(member, name)]),
  );
}

function arrangeList(list: unknown[], key: string): unknown[] {
  const arranged = list.map((member) => arrange(member, ""));
  if (key === "tokenDigests") {
    return arranged.sort((a, b) => compare(String(a), String(b)));
  }
  const names = arranged.map(nameOf);
  if (names.includes(undefined)) return arranged;
  return arranged.sort((a, b) => compare(nameOf(a) ?? "", nameOf(b) ?? ""));
}

function nameOf(member: unknown): string | undefined {
  const name = (member as { name?: unknown } | null)?.name;
  return typeof name === "string" ? name : undefined;
}

/** Compares by code unit, so that the order does not depend on a locale. */
function compare(a: string, b: string): number {
  return a < b ? -1 : a > b ? 1 : 0;
}
