/**
 * Client for the HTTP API of the entries, with failover between entries.
 *
 * @module
 */

import { ErrorCode, SECOND } from "@dragonflyledge/model";
import type { Milliseconds } from "@dragonflyledge/model";
import { RequestFailure } from "./dependencies.ts";
import type { Dependencies, HttpRequest } from "./dependencies.ts";
import type { ExitName } from "./exit_code.ts";
import { CommandFailure } from "./failure.ts";
import { formatValue, sanitizeLine } from "./output.ts";

/** One call of the HTTP API. */
export interface ApiCall {
  method: HttpRequest["method"];
  path: string;
  body?: unknown;
  headers?: Record<string, string>;
  /**
   * Whether executing the call twice has the same effect as executing it once.
   * Only such a call goes to another entry after an attempt that may have
   * taken effect.
   */
  repeatable: boolean;
  /** URL of the entry to try first. */
  preferredEntry?: string;
  /** Statuses besides 2xx that are returned instead of thrown. */
  expected?: number[];
}

/** Answer of an entry with parsed JSON. */
export interface ApiAnswer {
  /** URL of the entry that answered. */
  entry: string;
  status: number;
  body: unknown;
  /** Whether an earlier attempt got no answer but may have taken effect. */
  uncertain: boolean;
}

/** Command line options of commands that call an entry. */
export interface ClientOptions {
  entry?: string[];
  tokenFile?: string;
  /** Limit for the attempt at each entry, in seconds; 10 by default. */
  timeout?: number;
  json?: boolean;
}

/**
 * Performs a call and returns the answer. Throws a `CommandFailure` if no entry
 * answers, or if the answer has a status that the call does not expect.
 */
export type Client = (call: ApiCall) => Promise<ApiAnswer>;

/** Exit of the command for an HTTP status; other statuses end in `Failure`. */
const EXIT_BY_STATUS: Record<number, ExitName> = {
  400: "Invalid",
  401: "Denied",
  403: "Denied",
  404: "NotFound",
  409: "Conflict",
  413: "Invalid",
  422: "Invalid",
  // An entry answers 502 only if the outcome is unknown.
  502: "Unknown",
};
/** Status of an entry that did nothing, so that another entry may be tried. */
const SERVICE_UNAVAILABLE = 503;

/**
 * Returns a client that tries the entries in the order given until one answers
 * with a status other than 503. Throws a `CommandFailure` if the options name
 * no valid entry or no valid token.
 */
export async function createClient(fields: {
  dependencies: Dependencies;
  options: ClientOptions;
}): Promise<Client> {
  const { dependencies, options } = fields;
  const entries = findEntries(options, dependencies.environment);
  const token = await findToken(options, dependencies);
  const timeout = (options.timeout ?? 10) * SECOND;
  return async (call) => {
    const failures: string[] = [];
    let uncertain = false;
    for (const entry of orderEntries(entries, call.preferredEntry)) {
      try {
        const request = toRequest({ call, entry, token, timeout });
        const { status, body } = await dependencies.send(request);
        if (status !== SERVICE_UNAVAILABLE) {
          return checkStatus(call, { entry, status, body, uncertain });
        }
        failures.push(`${entry}: ${describeError(body)}`);
      } catch (error) {
        if (!(error instanceof RequestFailure)) throw error;
        failures.push(`${entry}: ${error.message}`);
        uncertain ||= error.possiblySent && call.method !== "GET";
        if (uncertain && !call.repeatable) break;
      }
    }
    throw noAnswerFailure(call, failures, uncertain);
  };
}

/** Returns the entries with the preferred one first. */
function orderEntries(
  entries: string[],
  preferred: string | undefined,
): string[] {
  if (preferred === undefined) return entries;
  return [preferred, ...entries.filter((entry) => entry !== preferred)];
}

/** Returns the failure of a call that no entry answered or accepted. */
function noAnswerFailure(
  call: ApiCall,
  failures: string[],
  uncertain: boolean,
): CommandFailure {
  const attempts = failures.join("; ");
  return new CommandFailure({
    exit: uncertain ? "Unknown" : "Unreachable",
    code: ErrorCode.Session,
    step: `${call.method} ${call.path}`,
    message: uncertain
      ? `the command may have taken effect: ${attempts}`
      : `no entry accepted the command: ${attempts}`,
    hint: uncertain
      ? "Check whether it took effect before you repeat it."
      : "Name more entries with --entry, or check that they are running.",
  });
}

/** Returns the origins of the entries from the options or the environment. */
function findEntries(
  options: ClientOptions,
  environment: Dependencies["environment"],
): string[] {
  const named = options.entry ??
    environment["DRAGONFLYLEDGE_ENTRY"]?.split(",") ?? [];
  if (named.length === 0) {
    throw usageFailure("no entry is given", "Add --entry http://host:port.");
  }
  return named.map((text) => {
    const url = URL.canParse(text.trim()) ? new URL(text.trim()) : undefined;
    if (url && /^https?:$/.test(url.protocol)) return url.origin;
    throw usageFailure(
      `entry ${text} is not an HTTP URL`,
      "Write http://host:port.",
    );
  });
}

/** Returns the bearer token from the token file or the environment. */
async function findToken(
  options: ClientOptions,
  dependencies: Dependencies,
): Promise<string> {
  const { tokenFile } = options;
  const text = tokenFile === undefined
    ? dependencies.environment["DRAGONFLYLEDGE_TOKEN"] ?? ""
    : await dependencies.readFile(tokenFile).catch((error: Error) => {
      const message = `cannot read ${tokenFile}: ${error.message}`;
      throw usageFailure(message, "Name a file that holds the token.");
    });
  const token = text.trim();
  if (/^[\x21-\x7e]+$/.test(token)) return token;
  throw usageFailure(
    token === ""
      ? "no token is given"
      : "the token may hold only printable ASCII without spaces",
    "Set DRAGONFLYLEDGE_TOKEN or add --token-file.",
  );
}

/** Returns a failure for wrong options. */
function usageFailure(message: string, hint: string): CommandFailure {
  return new CommandFailure({ exit: "Usage", step: "options", message, hint });
}

function toRequest(fields: {
  call: ApiCall;
  entry: string;
  token: string;
  timeout: Milliseconds;
}): HttpRequest {
  const { call, entry, token, timeout } = fields;
  const headers = {
    authorization: `Bearer ${token}`,
    accept: "application/json",
    ...(call.body === undefined ? {} : { "content-type": "application/json" }),
    ...call.headers,
  };
  const body = call.body === undefined ? undefined : JSON.stringify(call.body);
  const url = `${entry}${call.path}`;
  return { method: call.method, url, headers, body, timeout };
}

/** Returns the parsed answer, or throws if its status is not expected. */
function checkStatus(
  call: ApiCall,
  answer: { entry: string; status: number; body: string; uncertain: boolean },
): ApiAnswer {
  const { entry, status, uncertain } = answer;
  const successful = status >= 200 && status < 300;
  if (successful || call.expected?.includes(status)) {
    return { entry, status, uncertain, body: parseBody(call, answer) };
  }
  throw new CommandFailure({
    exit: EXIT_BY_STATUS[status] ?? "Failure",
    code: ErrorCode.Protocol,
    step: `${call.method} ${call.path}`,
    peer: entry,
    message: `${entry} answered ${status}: ${describeError(answer.body)}`,
  });
}

/** Returns the parsed JSON; an empty body counts as an empty object. */
function parseBody(call: ApiCall, answer: { entry: string; body: string }) {
  if (answer.body === "") return {};
  try {
    return JSON.parse(answer.body) as unknown;
  } catch (cause) {
    throw new CommandFailure({
      exit: "Failure",
      code: ErrorCode.Protocol,
      step: `${call.method} ${call.path}`,
      peer: answer.entry,
      message: `${answer.entry} answered with something other than JSON`,
      hint: "Check that --entry names the HTTP port of an entry.",
      cause,
    });
  }
}

/**
 * Returns the message, reason, hint and problems of an error as one line. A
 * body without these is shortened to 200 characters.
 */
function describeError(body: string): string {
  try {
    const value = JSON.parse(body);
    const { message, reason, hint } = { ...value, ...value.error };
    const problems = Array.isArray(value.problems) ? value.problems : [];
    const parts = [message, reason, hint, ...problems.map(formatValue)]
      .filter((each) => each);
    if (parts.length > 0) return sanitizeLine(parts.join(". "));
  } catch {
    // A body that is not JSON is shown as text.
  }
  return sanitizeLine(body).slice(0, 200);
}
