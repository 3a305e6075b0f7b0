/**
 * Calls to the HTTP API of the entries.
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

/** One call; `repeatable` ones may reach several entries. */
export interface ApiCall {
  method: HttpRequest["method"];
  path: string;
  body?: unknown;
  headers?: Record<string, string>;
  /** Whether a second execution changes nothing more than the first. */
  repeatable: boolean;
  /** Entry to try first. */
  preferredEntry?: string;
  /** Statuses besides 2xx that the caller handles. */
  expectedStatuses?: number[];
}

/** Answer of an entry with parsed JSON. */
export interface ApiAnswer {
  entry: string;
  status: number;
  body: unknown;
  /** An earlier attempt of the call broke off and may have taken effect. */
  uncertain: boolean;
}

/** Options of commands that call an entry. */
export interface ClientOptions {
  entry?: string[];
  tokenFile?: string;
  timeout?: number;
  json?: boolean;
}

/** Function that performs calls. */
export type Client = (call: ApiCall) => Promise<ApiAnswer>;

const EXIT_BY_STATUS: Record<number, ExitName> = {
  400: "Invalid",
  401: "Denied",
  403: "Denied",
  404: "NotFound",
  409: "Conflict",
  413: "Invalid",
  422: "Invalid",
  // An entry answers so only where the outcome is unknown.
  502: "Unknown",
};
/** Status that states that nothing was done: another entry may do it. */
const SERVICE_UNAVAILABLE = 503;

/** Returns a client that tries the entries in the order given. */
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

function orderEntries(entries: string[], first: string | undefined): string[] {
  if (first === undefined) return entries;
  return [first, ...entries.filter((entry) => entry !== first)];
}

function noAnswerFailure(
  call: ApiCall,
  failures: string[],
  uncertain: boolean,
): CommandFailure {
  const tried = failures.join("; ");
  return new CommandFailure({
    exit: uncertain ? "Unknown" : "Unreachable",
    code: ErrorCode.Session,
    step: `${call.method} ${call.path}`,
    message: uncertain
      ? `the command may have taken effect: ${tried}`
      : `no entry accepted the command: ${tried}`,
    hint: uncertain
      ? "Look before you repeat it."
      : "Name more entries with --entry, or see whether they run.",
  });
}

function findEntries(
  options: ClientOptions,
  environment: Dependencies["environment"],
): string[] {
  const named = options.entry ??
    environment["DRAGONFLYLEDGE_ENTRY"]?.split(",") ?? [];
  if (named.length === 0) {
    throw usageFailure("no entry is named", "Add --entry http://host:port.");
  }
  return named.map((text) => {
    const url = URL.canParse(text.trim()) ? new URL(text.trim()) : undefined;
    if (url && /^https?:$/.test(url.protocol)) return url.origin;
    throw usageFailure(`entry ${text} is no URL`, "Write http://host:port.");
  });
}

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
    token === "" ? "no token is given" : "the token is not printable",
    "Set DRAGONFLYLEDGE_TOKEN or add --token-file.",
  );
}

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

function checkStatus(
  call: ApiCall,
  answer: { entry: string; status: number; body: string; uncertain: boolean },
): ApiAnswer {
  const { entry, status, uncertain } = answer;
  const good = status >= 200 && status < 300;
  if (good || call.expectedStatuses?.includes(status)) {
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
      message: `${answer.entry} answered something other than JSON`,
      hint: "See whether --entry names an entry's HTTP port.",
      cause,
    });
  }
}

/** Returns the message, reason, hint and problems of an error as one line. */
function describeError(body: string): string {
  try {
    const value = JSON.parse(body);
    const { message, reason, hint } = { ...value, ...value.error };
    const problems = Array.isArray(value.problems) ? value.problems : [];
    const parts = [message, reason, hint, ...problems.map(formatValue)]
      .filter((each) => each);
    if (parts.length > 0) return sanitizeLine(parts.join(". "));
  } catch {
    // Other bodies are shown as they are.
  }
  return sanitizeLine(body).slice(0, 200);
}
