/**
 * Error that ends a command.
 *
 * @module
 */

import { ErrorCode, StepError } from "@dragonflyledge/model";
import { EXIT_CODES } from "./exit_code.ts";
import type { ExitName } from "./exit_code.ts";

/** Error that ends a command with an exit code. */
export class CommandFailure extends StepError {
  /** Exit code of the process. */
  readonly exitCode: number;

  constructor(fields: {
    exit: ExitName;
    message: string;
    step: string;
    /** Entry or file that the failure concerns. */
    peer?: string;
    code?: ErrorCode;
    hint?: string;
    cause?: unknown;
  }) {
    super({ code: ErrorCode.Usage, peer: "command line", ...fields });
    this.name = "CommandFailure";
    this.exitCode = EXIT_CODES[fields.exit].code;
  }
}
