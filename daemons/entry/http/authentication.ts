/**
 * Finds out which team a bearer token belongs to, and whether it is an
 * operator's.
 *
 * @module
 */

import { createHash, timingSafeEqual } from "node:crypto";
import { Buffer } from "node:buffer";
import type { Configuration, TeamName } from "@dragonflyledge/model";

const SCHEME = /^Bearer +(\S+)$/i;

/**
 * Returns the SHA-256 digest of the bearer token in hexadecimal, or undefined
 * if the `authorization` header contains none.
 */
export function readTokenDigest(
  header: string | undefined,
): string | undefined {
  const token = SCHEME.exec(header ?? "")?.[1];
  if (token === undefined) return undefined;
  return createHash("sha256").update(token).digest("hex");
}

/** Returns the team whose token the header contains, or undefined. */
export function findTeam(fields: {
  header: string | undefined;
  configuration: Configuration | undefined;
}): TeamName | undefined {
  const digest = readTokenDigest(fields.header);
  if (digest === undefined) return undefined;
  return fields.configuration?.teams
    .find((team) =>
      team.tokenDigests.some((known) => isEqualDigest(known, digest))
    )
    ?.name;
}

/** Whether the digest of the token is among `digests`. */
export function isOperator(fields: {
  header: string | undefined;
  digests: string[];
}): boolean {
  const digest = readTokenDigest(fields.header);
  if (digest === undefined) return false;
  return fields.digests.some((known) => isEqualDigest(known, digest));
}

/** Compares in constant time, so that timing reveals nothing about a digest. */
function isEqualDigest(left: string, right: string): boolean {
  const first = Buffer.from(left, "hex");
  const second = Buffer.from(right, "hex");
  return first.length === second.length && timingSafeEqual(first, second);
}
