/**
 * Form of claims in the store.
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

/** Bodies are bytes, which JSON cannot hold. */
export function encodeClaim({ outcome, ...claim }: Claim): unknown {
  if (!outcome) return claim;
  if (!("answer" in outcome)) return { ...claim, outcome };
  const body = Buffer.from(outcome.answer.body).toString("base64");
  const answer = { ...outcome.answer, body };
  return { ...claim, outcome: { ...outcome, answer } };
}

/** Reads a stored claim. */
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
    return err(malformedClaim(key, "a field of the claim is missing"));
  }
  const { outcome, ...rest } = claim as Claim;
  if (!outcome) return ok(rest);
  if (!("answer" in outcome)) return ok({ ...rest, outcome });
  const body = Buffer.from(String(outcome.answer.body), "base64");
  const answer = { ...outcome.answer, body: new Uint8Array(body) };
  return ok({ ...rest, outcome: { ...outcome, answer } as Outcome });
}

/** Error of a claim that has no valid form. */
export function malformedClaim(peer: string, message: string): StepError {
  const code = ErrorCode.StoreAnswer;
  return new StepError({ code, step: "claim", peer, message });
}
