/**
 * Encoding of claims in the store.
 *
 * @module
 */

import { Buffer } from "node:buffer";
import { err, ok, type Result } from "neverthrow";
import {
  type Claim,
  ErrorCode,
  type Outcome,
  StepError,
} from "@dragonflyledge/model";
import type { StoredValue } from "./value_writer.ts";

/** Returns the claim as JSON data. The bytes of an answer become base64. */
export function encodeClaim({ outcome, ...claim }: Claim): unknown {
  if (!outcome) return claim;
  if (!("answer" in outcome)) return { ...claim, outcome };
  const body = Buffer.from(outcome.answer.body).toString("base64");
  const answer = { ...outcome.answer, body };
  return { ...claim, outcome: { ...outcome, answer } };
}

/**
 * Decodes a stored claim; `DFL_STORE_ANSWER` if a field is missing or wrong.
 */
export function decodeClaim(
  { key, value }: StoredValue,
): Result<Claim, StepError> {
  const claim = value as Partial<Claim> | null;
  const texts = [claim?.team, claim?.key, claim?.fingerprint, claim?.request];
  const valid = texts.every((text) => typeof text === "string") &&
    typeof claim?.entry === "string" &&
    typeof claim.incarnation === "number" &&
    typeof claim.created === "string";
  if (!valid) {
    return err(
      malformedClaim(
        key,
        "a field of the claim is missing or has the wrong type",
      ),
    );
  }
  const { outcome, ...rest } = claim as Claim;
  if (!outcome) return ok(rest);
  if (!("answer" in outcome)) return ok({ ...rest, outcome });
  const body = Buffer.from(String(outcome.answer.body), "base64");
  const answer = { ...outcome.answer, body: new Uint8Array(body) };
  return ok({ ...rest, outcome: { ...outcome, answer } as Outcome });
}

/** Creates the error for a malformed claim; `peer` is its key. */
export function malformedClaim(peer: string, message: string): StepError {
  const code = ErrorCode.StoreAnswer;
  return new StepError({ code, step: "claim", peer, message });
}
