/**
 * Network addresses in the form `host:port`.
 *
 * @module
 */

/** Highest port number of TCP. */
const MAX_PORT = 65_535;
/** A host name or an IPv4 address, and a decimal port. */
const ADDRESS = /^([A-Za-z0-9._-]{1,253}):(\d{1,5})$/;

/** Host and port of a peer. */
export interface Address {
  host: string;
  port: number;
}

/**
 * Parses an address. Returns undefined for other text and for a port that no
 * connection can be made to.
 */
export function parseAddress(text: string): Address | undefined {
  const match = ADDRESS.exec(text);
  if (!match) return undefined;
  const port = Number(match[2]);
  return port >= 1 && port <= MAX_PORT ? { host: match[1]!, port } : undefined;
}
