/**
 * Reference of all settings, for the documentation and its check.
 *
 * @module
 */

import type { z } from "zod";
import { describeKey } from "./read.ts";
import { SECTIONS } from "./sections.ts";
import type { Role } from "./sections.ts";

/** One key of the reference. */
export interface SettingsKey {
  role: Role;
  section: string;
  key: string;
  allowed: string;
  /** `required`, `unset`, or the value that applies if the key is absent. */
  fallback: string;
  meaning: string;
}

/** Lists all keys of all roles in order of the schema. */
export function listSettings(): SettingsKey[] {
  return (Object.keys(SECTIONS) as Role[]).flatMap((role) =>
    Object.entries(SECTIONS[role].shape).flatMap(([section, schema]) =>
      Object.entries(schema.shape as Record<string, z.ZodType>).map(
        ([key, type]) => ({
          role,
          section,
          key,
          ...describeKey(type),
          fallback: describeFallback(type),
        }),
      )
    )
  );
}

function describeFallback(type: z.ZodType): string {
  const absent = type.safeParse(undefined);
  if (!absent.success) return "required";
  return absent.data === undefined ? "unset" : String(absent.data);
}
