/**
 * Removes secrets from log lines.
 *
 * @module
 */

/** Names of fields whose values are secret. */
const SECRET_KEY = /token|authorization|secret|password|cookie/i;
/** Credentials within a text. */
const SECRET_TEXT = /\b(Bearer|Basic)\s+[^\s"',]+/gi;
const REDACTED = "[redacted]";
/** Values below this depth are replaced, which also ends cycles. */
const MAX_DEPTH = 6;

/**
 * Returns a copy in which values of secret fields and credentials in texts are
 * replaced. Errors become plain objects, and binary data becomes its length.
 */
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

/** Returns an error's fields, such as code, step and peer of a `StepError`. */
function errorFields(error: Error): Record<string, unknown> {
  const { name, message, stack, cause } = error;
  return { ...error, name, message, stack, cause };
}
