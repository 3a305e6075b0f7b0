/**
 * Digests of bearer tokens.
 *
 * @module
 */

import { createHash } from "node:crypto";
import { ErrorCode, StepError } from "@dragonflyledge/model";

/** Shorter tokens could be found from their digest by trying all. */
const TOKEN_MINIMUM = 20;

/**
 * Returns the SHA-256 digest of a token in lower-case hex. The configuration
 * holds digests only.
 *
 * @throws {StepError} with code `DFL_CONFIGURATION`; it does not quote the token
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
