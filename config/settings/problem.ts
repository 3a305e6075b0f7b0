/**
 * Problems found in a settings file.
 *
 * @module
 */

import { ErrorCode, StepError } from "@dragonflyledge/model";

/** One problem of a settings file. */
export interface SettingsProblem {
  file: string;
  /** Empty for a key before the first section. */
  section: string;
  /** Empty for a problem of the whole section. */
  key: string;
  /** Value found in the file; undefined if it is missing. */
  value: unknown;
  /** Which values are allowed, or which keys or sections. */
  allowed: string;
}

/** Formats the problem as one line. */
export function formatSettingsProblem(problem: SettingsProblem): string {
  const { file, section, key, value, allowed } = problem;
  const place = `${file}: [${section}]${key === "" ? "" : ` ${key}`}`;
  const found = value === undefined
    ? "is missing"
    : `= ${JSON.stringify(value)} is not allowed`;
  return `${place} ${found}; allowed: ${allowed}`;
}

/** Returns all problems as one error with code `DFL_SETTINGS`. */
export function settingsError(problems: SettingsProblem[]): StepError {
  return new StepError({
    code: ErrorCode.Settings,
    step: "readSettings",
    peer: problems[0]?.file ?? "",
    message: problems.map(formatSettingsProblem).join("\n"),
    hint: "docs/SETTINGS.md lists all keys.",
  });
}
