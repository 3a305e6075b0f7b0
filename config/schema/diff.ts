/**
 * Differences between two configurations.
 *
 * @module
 */

import type { Configuration } from "@dragonflyledge/model";

/** One difference; `before` or `after` is undefined if it lacks the path. */
export interface ConfigurationChange {
  path: string;
  before: unknown;
  after: unknown;
}

/**
 * Lists the fields that differ, ordered by path. The version is left out,
 * because it changes with every acceptance, and so is the order of lists whose
 * members have names.
 */
export function diffConfigurations(fields: {
  before: Configuration;
  after: Configuration;
}): ConfigurationChange[] {
  const before = flatten(fields.before);
  const after = flatten(fields.after);
  const paths = [...new Set([...before.keys(), ...after.keys()])].sort();
  return paths.flatMap((path) => {
    const change = { path, before: before.get(path), after: after.get(path) };
    return change.before === change.after ? [] : [change];
  });
}

/** Formats the change as one line that begins with `+`, `-` or `~`. */
export function formatChange(change: ConfigurationChange): string {
  if (change.before === undefined) {
    return `+ ${change.path}: ${JSON.stringify(change.after)}`;
  }
  if (change.after === undefined) {
    return `- ${change.path}: ${JSON.stringify(change.before)}`;
  }
  const before = JSON.stringify(change.before);
  return `~ ${change.path}: ${before} -> ${JSON.stringify(change.after)}`;
}

/** Value that is neither a list nor an object. */
type Leaf = string | number | boolean;

function flatten(configuration: Configuration): Map<string, Leaf> {
  const leaves = new Map<string, Leaf>();
  const { teams, classes, services } = configuration;
  collectLeaves({ teams, classes, services }, "", leaves);
  return leaves;
}

/** Adds the leaves within the value to `leaves`, by path. */
function collectLeaves(
  value: unknown,
  path: string,
  leaves: Map<string, Leaf>,
) {
  if (Array.isArray(value)) {
    value.forEach((member, index) => {
      collectLeaves(
        member,
        `${path}[${memberLabel(member, index, path)}]`,
        leaves,
      );
    });
  } else if (typeof value === "object" && value !== null) {
    for (const [key, member] of Object.entries(value)) {
      collectLeaves(member, path === "" ? key : `${path}.${key}`, leaves);
    }
  } else leaves.set(path, value as Leaf);
}

/** Labels a list member by its name or index, and a digest by its start. */
function memberLabel(member: unknown, index: number, path: string): string {
  if (path.endsWith(".tokenDigests")) return String(member).slice(0, 12);
  const name = (member as { name?: unknown } | null)?.name;
  return typeof name === "string" ? name : String(index);
}
