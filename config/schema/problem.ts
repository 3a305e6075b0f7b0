/**
 * Problems found in a configuration.
 *
 * @module
 */

import { ErrorCode, StepError } from "@dragonflyledge/model";

/** One fault of a document, with what to write instead. */
export interface Problem {
  /** Names list members by their name: `teams[fry-floor].weight`. */
  path: string;
  value: unknown;
  message: string;
  /** What to write instead. */
  hint: string;
}

/** Longest value that an error message quotes in full. */
const QUOTE_LIMIT = 60;

/** Returns the problem as one line. */
export function formatProblem(problem: Problem): string {
  const quoted = JSON.stringify(problem.value) ?? "nothing";
  const value = quoted.length > QUOTE_LIMIT
    ? `${quoted.slice(0, QUOTE_LIMIT)}...`
    : quoted;
  const path = problem.path === "" ? "document" : problem.path;
  return `${path}: ${problem.message} (found ${value}); write ${problem.hint}`;
}

/** Returns all problems as one error with code `DFL_CONFIGURATION`. */
export function configurationError(fields: {
  problems: Problem[];
  step: string;
  peer: string;
}): StepError {
  return new StepError({
    code: ErrorCode.Configuration,
    step: fields.step,
    peer: fields.peer,
    message: fields.problems.map(formatProblem).join("\n"),
    hint: fields.problems[0]?.hint ?? "",
  });
}
