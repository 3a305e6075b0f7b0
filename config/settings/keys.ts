/**
 * Schemas for the values of settings. Each carries a description of the allowed
 * values and of the meaning of the key, for errors and for the reference.
 *
 * @module
 */

import { z } from "zod";

/** Host and port of a peer. */
export interface HostPort {
  host: string;
  port: number;
}

/** Description of a key, for errors and for the reference. */
export interface KeyDescription {
  /** Which values are allowed. */
  allowed: string;
  /** What the key sets. */
  meaning: string;
}

const HOST = /^[A-Za-z0-9]([A-Za-z0-9.:-]{0,252}[A-Za-z0-9])?$/;
const HOST_PORT = /^\[?([^\s\]]+?)\]?:(\d{1,5})$/;

/** Schema of a name of 1 to 63 characters. */
export function name(meaning: string) {
  return z.string().regex(/^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$/).meta({
    allowed: "1 to 63 letters, digits, dots, hyphens and underscores",
    meaning,
  });
}

/** Schema of an IP address or a host name. */
export function host(meaning: string) {
  return z.string().regex(HOST).meta({
    allowed: "an IP address or a host name",
    meaning,
  });
}

/** Schema of a decimal number without sign, which becomes a number. */
export function wholeNumber(minimum: number, maximum: number, meaning: string) {
  return z.string().regex(/^\d{1,15}$/).transform(Number).pipe(
    z.int().min(minimum).max(maximum),
  ).meta({
    allowed: `a whole number from ${minimum} to ${maximum}`,
    meaning,
  });
}

/** Schema of a TCP or UDP port. */
export function port(meaning: string) {
  return wholeNumber(1, 65535, meaning);
}

/** Schema of an HTTP or HTTPS origin: a URL without user, path and query. */
export function url(meaning: string) {
  return z.string().refine(isOrigin).meta({
    allowed: "a URL such as http://10.0.0.5:2379, http or https, no path",
    meaning,
  });
}

function isOrigin(text: string): boolean {
  if (!URL.canParse(text)) return false;
  const { protocol, pathname, search, hash, username } = new URL(text);
  return /^https?:$/.test(protocol) && pathname === "/" &&
    search + hash + username === "";
}

/** Schema of one of the given words. */
export function oneOf<const T extends string>(values: T[], meaning: string) {
  return z.enum(values).meta({
    allowed: `one of ${values.join(", ")}`,
    meaning,
  });
}

/** Schema of a prefix of keys, which starts and ends with a slash. */
export function prefix(meaning: string) {
  return z.string().regex(/^\/([\w.-]+\/)+$/).meta({
    allowed: "a path that starts and ends with /",
    meaning,
  });
}

/** Schema of a list separated by commas; `issue` names an invalid part. */
function listOf<T>(parse: (text: string) => T | undefined, issue: string) {
  return z.string().transform((text, context): T[] => {
    const parsed = text.split(",").map((each) => parse(each.trim()));
    const valid = parsed.filter((each) => each !== undefined);
    if (valid.length !== parsed.length) {
      context.addIssue({ code: "custom", message: issue });
    }
    return valid;
  });
}

/** Schema of a list of `host:port`, separated by commas. */
export function addresses(meaning: string) {
  return listOf(parseAddress, "address").meta({
    allowed: "addresses host:port, separated by commas",
    meaning,
  });
}

/** Parses `host:port`, with brackets around an IPv6 address allowed. */
function parseAddress(text: string): HostPort | undefined {
  const match = HOST_PORT.exec(text);
  if (!match?.[1] || !HOST.test(match[1])) return undefined;
  const port = Number(match[2]);
  return port >= 1 && port <= 65535 ? { host: match[1], port } : undefined;
}

/** Operator, and the SHA-256 digest of the operator's bearer token in hex. */
export interface OperatorKey {
  name: string;
  tokenDigest: string;
}

/** Schema of a list of `name:digest`, separated by commas. */
export function operators(meaning: string) {
  return listOf(parseOperator, "operator").meta({
    allowed: "name:digest, separated by commas, digests in lower-case hex",
    meaning,
  });
}

function parseOperator(text: string): OperatorKey | undefined {
  const match = /^([\w.-]+):([0-9a-f]{64})$/.exec(text);
  if (!match?.[1] || !match[2]) return undefined;
  return { name: match[1], tokenDigest: match[2] };
}
