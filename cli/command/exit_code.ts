/**
 * Exit codes of the command line.
 *
 * @module
 */

/** Each exit code with its meaning. Codes never change. */
export const EXIT_CODES = {
  Success: { code: 0, meaning: "The command succeeded." },
  Failure: { code: 1, meaning: "The command failed for another reason." },
  Usage: {
    code: 2,
    meaning: "Arguments, options, settings or token are wrong.",
  },
  Invalid: { code: 3, meaning: "A configuration or job was refused." },
  Conflict: { code: 4, meaning: "Another change came first; none was made." },
  Unreachable: { code: 5, meaning: "No entry accepted it; nothing changed." },
  Denied: { code: 6, meaning: "The token does not permit this." },
  NotFound: { code: 7, meaning: "The job, worker or version is not known." },
  Unknown: { code: 8, meaning: "It is unknown whether it took effect." },
} as const;

/** Name of an exit code. */
export type ExitName = keyof typeof EXIT_CODES;
