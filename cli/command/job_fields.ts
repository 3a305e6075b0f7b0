/**
 * Jobs as rows of a table.
 *
 * @module
 */

import { asObject } from "./output.ts";
import type { JsonObject } from "./output.ts";

/** Returns a job with the fields of its specification beside the others. */
export function flattenJob(body: unknown): JsonObject {
  const job = asObject(body);
  const { spec, ...rest } = asObject(job["job"] ?? job);
  return { ...rest, ...asObject(spec), ...pickField(job, "why") };
}

/** Returns the path of a job. */
export function jobPath(id: string): string {
  return `/v1/jobs/${encodeURIComponent(id)}`;
}

function pickField(value: JsonObject, key: string): JsonObject {
  return value[key] === undefined ? {} : { [key]: value[key] };
}
