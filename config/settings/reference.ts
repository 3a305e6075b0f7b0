/**
 * Lists all settings, for the documentation and the test that compares the two.
 *
 * @module
 */

import type { z } from "zod";
import { describeKey } from "./read.ts";
import { SECTIONS } from "./sections.ts";
import type { Role } from "./sections.ts";

/** One key of the settings of a daemon. */
export interface SettingsKey {
  role: Role;
  section: string;
  key: string;
  /** Which values are allowed. */
  allowed: string;
  /** `required`, `unset`, or the value that applies if the key is absent. */
  fallback: string;
  /** What the key sets. */
  meaning: string;
}

/** Lists all keys of all roles, in the order of the schemas. */
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

/** Returns what applies if a key is absent, as `SettingsKey.fallback` says. */
function describeFallback(type: z.ZodType): string {
  const absent = type.safeParse(undefined);
  if (!absent.success) return "required";
  return absent.data === undefined ? "unset" : String(absent.data);
}
