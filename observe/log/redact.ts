/**
 * Removal of secrets from log records.
 *
 * @module
 */

const SECRET_KEY = /token|authorization|secret|password|cookie/i;
const SECRET_TEXT = /\b(Bearer|Basic)\s+[^\s"',]+/gi;
const REDACTED = "[redacted]";
/** Deeper values are dropped; this also ends cycles. */
const MAX_DEPTH = 6;

/** Returns a copy without the values of secret keys and bearer tokens. */
export function redact(value: unknown, depth = 0): unknown {
  if (typeof value === "string") {
    return value.replace(SECRET_TEXT, `$1 ${REDACTED}`);
  }
  if (typeof value !== "object" || value === null) return value;
  if (depth >= MAX_DEPTH) return "[too deep]";
  if (value instanceof Date) return value;
  if (value instanceof Error) return redact(errorFields(value), depth);
  if (ArrayBuffer.isView(value)) return `[${value.byteLength} bytes]`;
  if (Array.isArray(value)) return value.map((each) => redact(each, depth + 1));
  return Object.fromEntries(
    Object.entries(value).map(([key, member]) => [
      key,
      SECRET_KEY.test(key) ? REDACTED : redact(member, depth + 1),
    ]),
  );
}

/** Keeps code, step, peer and hint of a `StepError` beside the message. */
function errorFields(error: Error): Record<string, unknown> {
  const { name, message, stack, cause } = error;
  return { ...error, name, message, stack, cause };
}
