/**
 * Problems found in a configuration.
 *
 * @module
 */

import { ErrorCode, StepError } from "@dragonflyledge/model";

/** One fault of a configuration document. */
export interface Problem {
  /** Place in the document, with list members by name: `teams[lab].weight`. */
  path: string;
  /** Value found there; undefined if it is missing. */
  value: unknown;
  /** What is wrong with the value. */
  message: string;
  /** What to write instead. */
  hint: string;
}

/** Characters of the longest value that a message quotes in full. */
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
