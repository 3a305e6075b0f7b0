/**
 * Command line of dragonflyledge, for executables and tests.
 *
 * @module
 */

export { RequestFailure } from "./dependencies.ts";
export type { Dependencies, HttpAnswer, HttpRequest } from "./dependencies.ts";
export { EXIT_CODES } from "./exit_code.ts";
export type { ExitName } from "./exit_code.ts";
export { CommandFailure } from "./failure.ts";
export { createProgram, runProgram } from "./program.ts";
