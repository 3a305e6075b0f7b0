/**
 * Canonical JSON: equal documents have equal text, and small changes give
 * small differences between lines.
 *
 * @module
 */

/**
 * Returns JSON with sorted keys and an indent of two spaces. Lists whose
 * members all have a name are sorted by name, and token digests by value. Other
 * lists keep their order, because guarantees are referred to by index.
 */
export function canonicalJson(value: unknown): string {
  return JSON.stringify(canonicalize(value, ""), undefined, 2);
}

/** Sorts keys and lists; `key` is the key under which the value stands. */
function canonicalize(value: unknown, key: string): unknown {
  if (Array.isArray(value)) return canonicalizeList(value, key);
  if (typeof value !== "object" || value === null) return value;
  const entries = Object.entries(value).sort(([a], [b]) => compare(a, b));
  return Object.fromEntries(
    entries.map(([name, member]) => [name, canonicalize(member, name)]),
  );
}

function canonicalizeList(list: unknown[], key: string): unknown[] {
  const arranged = list.map((member) => canonicalize(member, ""));
  if (key === "tokenDigests") {
    return arranged.sort((a, b) => compare(String(a), String(b)));
  }
  const names = arranged.map(memberName);
  if (names.includes(undefined)) return arranged;
  return arranged.sort((a, b) =>
    compare(memberName(a) ?? "", memberName(b) ?? "")
  );
}

function memberName(member: unknown): string | undefined {
  const name = (member as { name?: unknown } | null)?.name;
  return typeof name === "string" ? name : undefined;
}

/** Compares by code unit, so that the order does not depend on a locale. */
function compare(a: string, b: string): number {
  return a < b ? -1 : a > b ? 1 : 0;
}
