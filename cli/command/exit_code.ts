/**
 * Exit codes of the command line.
 *
 * @module
 */

/** Exit codes with their meanings. Codes never change. */
export const EXIT_CODES = {
  Success: { code: 0, meaning: "The command succeeded." },
  Failure: { code: 1, meaning: "The command failed for another reason." },
  Usage: {
    code: 2,
    meaning: "Arguments, options, settings or token are wrong.",
  },
  Invalid: { code: 3, meaning: "A configuration or job was refused." },
  Conflict: {
    code: 4,
    meaning: "Another change came first; nothing was changed.",
  },
  Unreachable: {
    code: 5,
    meaning: "No entry accepted the command; nothing changed.",
  },
  Denied: { code: 6, meaning: "The token does not permit this." },
  NotFound: { code: 7, meaning: "The job, worker or version is not known." },
  Unknown: {
    code: 8,
    meaning: "It is unknown whether the command took effect.",
  },
} as const;

/** Name of an exit code. */
export type ExitName = keyof typeof EXIT_CODES;
