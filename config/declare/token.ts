/**
 * Computes the digests of bearer tokens.
 *
 * @module
 */

import { createHash } from "node:crypto";
import { ErrorCode, StepError } from "@dragonflyledge/model";

/** In characters. A shorter token could be guessed from its digest by trial. */
const TOKEN_MINIMUM = 20;

/**
 * Returns the SHA-256 digest of a token in lower-case hex. The configuration
 * holds only digests, never tokens.
 *
 * @throws {StepError} with code `DFL_CONFIGURATION` if the token is too short
 * or has a space, a control character or one beyond ASCII; the error does not
 * quote the token
 */
export function tokenDigest(token: string): string {
  if (!/^[\x21-\x7e]+$/.test(token) || token.length < TOKEN_MINIMUM) {
    throw new StepError({
      code: ErrorCode.Configuration,
      step: "declare",
      peer: "token",
      message: `a token of ${token.length} characters is not allowed`,
      hint: `Write ${TOKEN_MINIMUM} or more printable characters, no spaces.`,
    });
  }
  return createHash("sha256").update(token, "utf8").digest("hex");
}
