/**
 * Jobs as rows of a table.
 *
 * @module
 */

import { asFields } from "./output.ts";
import type { Fields } from "./output.ts";

/** Returns a job with the fields of its specification beside the others. */
export function flattenJob(body: unknown): Fields {
  const job = asFields(body);
  const { spec, ...rest } = asFields(job["job"] ?? job);
  return { ...rest, ...asFields(spec), ...pick(job, "why") };
}

/** Returns the path of a job. */
export function jobPath(id: string): string {
  return `/v1/jobs/${encodeURIComponent(id)}`;
}

function pick(value: Fields, key: string): Fields {
  return value[key] === undefined ? {} : { [key]: value[key] };
}
