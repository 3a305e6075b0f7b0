/**
 * Helpers for jobs in answers of the HTTP API.
 *
 * @module
 */

import { asObject } from "./output.ts";
import type { JsonObject } from "./output.ts";

/**
 * Returns the job of an answer as one flat object: the fields of its
 * specification are moved next to its other fields.
 */
export function flattenJob(body: unknown): JsonObject {
  const job = asObject(body);
  const { spec, ...rest } = asObject(job["job"] ?? job);
  return { ...rest, ...asObject(spec), ...pickField(job, "why") };
}

/** Returns the path of a job in the HTTP API. */
export function jobPath(id: string): string {
  return `/v1/jobs/${encodeURIComponent(id)}`;
}

/** Returns an object with only this field, or an empty one without it. */
function pickField(value: JsonObject, key: string): JsonObject {
  return value[key] === undefined ? {} : { [key]: value[key] };
}
