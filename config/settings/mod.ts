/**
 * Reads the INI settings of the daemons, and reports all problems at once.
 *
 * @module
 */

export type { HostPort, OperatorKey } from "./keys.ts";
export { formatSettingsProblem, settingsError } from "./problem.ts";
export type { SettingsProblem } from "./problem.ts";
export { readSettings } from "./read.ts";
export { listSettings } from "./reference.ts";
export type { SettingsKey } from "./reference.ts";
export type { AgentSettings, EntrySettings, Role } from "./sections.ts";
