/**
 * Structured logs on `bunyan`.
 *
 * @module
 */

import { createLogger } from "bunyan";
import type { LogLevel } from "@dragonflyledge/model";
import { redact } from "./redact.ts";

/** Parts of the system. The part is the prefix of each message. */
export const Part = {
  Entry: "entry",
  Agent: "agent",
  Store: "store",
  Session: "session",
  Config: "config",
  Audit: "audit",
  Cli: "cli",
} as const;
export type Part = typeof Part[keyof typeof Part];

/** Values beside the message, such as the ids `request` and `job`. */
export type LogFields = Record<string, unknown>;

/** Log of one part of the system. Messages are short sentences. */
export interface Log {
  write(level: LogLevel, text: string, fields?: LogFields): void;
  debug(text: string, fields?: LogFields): void;
  info(text: string, fields?: LogFields): void;
  warn(text: string, fields?: LogFields): void;
  error(text: string, fields?: LogFields): void;
  /** Returns a log of another part that writes to the same stream. */
  part(part: Part): Log;
}

/** Fields that bunyan sets itself. */
const RESERVED_FIELDS = [
  "name",
  "hostname",
  "pid",
  "level",
  "msg",
  "time",
  "v",
];

/**
 * Returns a log that writes each message as one line of JSON. Values of secret
 * fields, and credentials in texts, are redacted. `fields` are added to all
 * lines.
 */
export function createLog(fields: {
  part: Part;
  level: LogLevel;
  stream: NodeJS.WritableStream;
  fields?: LogFields;
}): Log {
  const logger = createLogger({
    ...prepareFields(fields.fields ?? {}),
    name: "dragonflyledge",
    level: fields.level,
    stream: fields.stream,
  });
  const forPart = (part: Part): Log => {
    const write: Log["write"] = (level, text, extra = {}) => {
      const message = `${part}: ${redact(text)}`;
      // Otherwise, bunyan would interpret percent signs in the message.
      logger[level]({ ...prepareFields(extra), part }, "%s", message);
    };
    return createLevels({ write, part: forPart });
  };
  return forPart(fields.part);
}

/** Creates a log from a function that writes lines of any level. */
export function createLevels(fields: Pick<Log, "write" | "part">): Log {
  const { write, part } = fields;
  return {
    write,
    debug: (text, extra) => write("debug", text, extra),
    info: (text, extra) => write("info", text, extra),
    warn: (text, extra) => write("warn", text, extra),
    error: (text, extra) => write("error", text, extra),
    part,
  };
}

/** Redacts fields, and renames those that would replace fields of bunyan. */
function prepareFields(fields: LogFields): LogFields {
  const redacted = redact(fields) as LogFields;
  return Object.fromEntries(
    Object.entries(redacted).map(([key, value]) => [
      RESERVED_FIELDS.includes(key) ? `${key}Field` : key,
      value,
    ]),
  );
}
