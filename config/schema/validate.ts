/**
 * Validates a value with a schema and turns the schema's issues into problems.
 *
 * @module
 */

import { z } from "zod";
import { err, ok } from "neverthrow";
import type { Result } from "neverthrow";
import type { Problem } from "./problem.ts";

/**
 * Returns the value as the schema parses it, or all of its problems. The paths
 * of the problems start with `root`.
 */
export function validate<T>(fields: {
  schema: z.ZodType<T>;
  value: unknown;
  root: string;
}): Result<T, Problem[]> {
  const parsed = fields.schema.safeParse(fields.value);
  if (parsed.success) return ok(parsed.data);
  return err(parsed.error.issues.flatMap((issue) => toProblems(fields, issue)));
}

function toProblems(
  fields: { schema: z.ZodType; value: unknown; root: string },
  issue: z.core.$ZodIssue,
): Problem[] {
  const schema = schemaAt(fields.schema, issue.path);
  if (issue.code === "unrecognized_keys") {
    const known = schema instanceof z.ZodObject
      ? Object.keys(schema.shape).join(", ")
      : "";
    return issue.keys.map((key) => ({
      path: labelPath({ ...fields, path: [...issue.path, key] }),
      value: valueAt(fields.value, [...issue.path, key]),
      message: "unknown key",
      hint: `only the keys ${known}`,
    }));
  }
  const value = valueAt(fields.value, issue.path);
  return [{
    path: labelPath({ ...fields, path: issue.path }),
    value,
    message: value === undefined ? "is missing" : "is not allowed",
    hint: schema?.description ?? issue.message,
  }];
}

/** Returns the schema of the value at the path, if there is one. */
function schemaAt(schema: z.ZodType, path: PropertyKey[]) {
  let current: unknown = schema;
  for (const key of path) {
    if (current instanceof z.ZodObject) current = current.shape[String(key)];
    else if (current instanceof z.ZodArray) current = current.element;
  }
  return current as z.ZodType | undefined;
}

/** Returns the value at the path; undefined if it is absent. */
function valueAt(value: unknown, path: PropertyKey[]): unknown {
  let current = value;
  for (const key of path) {
    current = (current as Record<PropertyKey, unknown> | undefined)?.[key];
  }
  return current;
}

/** Formats a path, with list members by `name`, or by index without one. */
function labelPath(fields: {
  value: unknown;
  path: PropertyKey[];
  root: string;
}): string {
  let label = fields.root;
  fields.path.forEach((key, depth) => {
    if (typeof key !== "number") {
      label += label === "" ? String(key) : `.${String(key)}`;
      return;
    }
    const member = valueAt(fields.value, fields.path.slice(0, depth + 1));
    const name = (member as { name?: unknown } | null)?.name;
    label += `[${typeof name === "string" ? name : key}]`;
  });
  return label;
}
