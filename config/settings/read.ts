/**
 * Reads INI settings.
 *
 * @module
 */

import { parse } from "ini";
import { err, ok } from "neverthrow";
import type { Result } from "neverthrow";
import type { z } from "zod";
import type { KeyDescription } from "./keys.ts";
import type { SettingsProblem } from "./problem.ts";
import { SECTIONS } from "./sections.ts";
import type { AgentSettings, EntrySettings, Role } from "./sections.ts";

type SettingsOf<R extends Role> = R extends "entry" ? EntrySettings
  : AgentSettings;
/** Values by section and key. */
type Values = Record<string, Record<string, unknown>>;
/** Schemas of keys by section. */
type SectionSchemas = Record<string, { shape: Record<string, z.ZodType> }>;

/**
 * Reads the settings of a daemon, or returns all of their problems. `text` is
 * the content of the file, and `file` its name in the problems.
 */
export function readSettings<R extends Role>(fields: {
  text: string;
  file: string;
  role: R;
}): Result<SettingsOf<R>, SettingsProblem[]> {
  const sections = SECTIONS[fields.role].shape as unknown as SectionSchemas;
  const raw = parseSections(fields.text);
  const problems = findUnknownSections(sections, raw);
  const values: Values = {};
  for (const [section, schema] of Object.entries(sections)) {
    const given = raw[section] ?? {};
    if (typeof given !== "object") continue;
    const read = readSection(section, schema, given as Values[string]);
    values[toCamelCase(section)] = read.values;
    problems.push(...read.problems);
  }
  if (problems.length === 0) return ok(values as unknown as SettingsOf<R>);
  return err(problems.map((each) => ({ ...each, file: fields.file })));
}

/**
 * Parses each section by itself, because `ini` counts repeated keys over all
 * sections of a text. A repeated key becomes a list, which is refused later;
 * otherwise the last value would win silently. A dot in the name of a section
 * does not make a subsection.
 */
function parseSections(text: string): Record<string, unknown> {
  const bodies = new Map<string, string[]>();
  let header = "";
  for (const line of text.split(/\r?\n/)) {
    const section = /^\s*\[([^\]]*)\]/.exec(line)?.[1];
    if (section !== undefined) header = `[${section.replace(/\./g, "\\.")}]`;
    const body = bodies.get(header) ?? [];
    bodies.set(header, section === undefined ? [...body, line] : body);
  }
  const parsed = [...bodies].map(([section, lines]) =>
    parse([section, ...lines].join("\n"), { bracketedArray: false })
  );
  return Object.assign({}, ...parsed);
}

/** Problem within one file. */
type SectionProblem = Omit<SettingsProblem, "file">;

/** Returns a problem for each unknown section and each key before a section. */
function findUnknownSections(
  sections: SectionSchemas,
  raw: Record<string, unknown>,
) {
  const known = Object.keys(sections).map((each) => `[${each}]`).join(" ");
  return Object.entries(raw).flatMap(([section, value]): SectionProblem[] => {
    if (typeof value !== "object" || Array.isArray(value)) {
      const allowed = `keys only within the sections ${known}`;
      return [{ section: "", key: section, value, allowed }];
    }
    if (section in sections) return [];
    const keys = Object.keys(value ?? {});
    return [{
      section,
      key: "",
      value: keys,
      allowed: `the sections ${known}`,
    }];
  });
}

/** Reads the keys of one section, and reports unknown keys and bad values. */
function readSection(
  section: string,
  schema: SectionSchemas[string],
  given: Record<string, unknown>,
): { values: Record<string, unknown>; problems: SectionProblem[] } {
  const keys = Object.keys(schema.shape).join(", ");
  const problems: SectionProblem[] = Object.entries(given)
    .filter(([key]) => !(key in schema.shape))
    .map(([key, value]) => {
      return { section, key, value, allowed: `the keys ${keys}` };
    });
  const values: Record<string, unknown> = {};
  for (const [key, type] of Object.entries(schema.shape)) {
    const value = given[key];
    const parsed = type.safeParse(value);
    if (parsed.success) values[toCamelCase(key)] = parsed.data;
    else {
      const { allowed } = describeKey(type);
      const list = Array.isArray(value) ? "one value, given once: " : "";
      problems.push({ section, key, value, allowed: list + allowed });
    }
  }
  return { values, problems };
}

/** Finds the description of a key, which may have a default or be optional. */
export function describeKey(type: z.ZodType): KeyDescription {
  const description = type.meta() as KeyDescription | undefined;
  if (description) return description;
  const inner = (type.def as { innerType?: z.ZodType }).innerType;
  return inner ? describeKey(inner) : { allowed: "", meaning: "" };
}

/** Turns a name with hyphens into camel case. */
function toCamelCase(key: string): string {
  return key.replace(/-(\w)/g, (_, letter: string) => letter.toUpperCase());
}
