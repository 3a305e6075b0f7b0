/**
 * Validation of the configuration document.
 *
 * @module
 */

export { canonicalJson } from "./canonical.ts";
export { diffConfigurations, formatChange } from "./diff.ts";
export type { ConfigurationChange } from "./diff.ts";
export { BODY_LIMIT, SHAPE_LIMIT } from "./document.ts";
export { checkFit } from "./fit.ts";
export {
  parseClass,
  parseConfiguration,
  parseService,
  parseShape,
  parseTeam,
} from "./parse.ts";
export { configurationError, formatProblem } from "./problem.ts";
export type { Problem } from "./problem.ts";
export { guaranteedAccelerators } from "./rules.ts";
