/**
 * HTTP route on which callers submit a request and wait for its outcome.
 *
 * @module
 */

import { createHash } from "node:crypto";
import {
  MAX_REQUEST_DEADLINE,
  OutcomeKind,
  Reason,
} from "@dragonflyledge/model";
import type {
  Clock,
  Configuration,
  EntryEvent,
  Milliseconds,
  Outcome,
  RequestId,
  WorkRequest,
} from "@dragonflyledge/model";
import { findTeam } from "./authentication.ts";
import { outcomeAnswer } from "./outcome_answer.ts";
import { problem } from "./server.ts";
import type { HttpAnswer, HttpRequest, Route } from "./server.ts";

/** Maximum length of an idempotency key in characters. */
const MAX_KEY_LENGTH = 200;
const KEY_PATTERN = /^[\x21-\x7e]+$/;

/** Route for requests, and the callers that wait for outcomes. */
export interface RequestApi {
  readonly routes: Route[];
  /** Answers the caller of a request with its outcome. */
  respond(request: RequestId, outcome: Outcome): void;
  /** Returns the number of callers that wait for an outcome. */
  waiting(): number;
}

/** Creates the route for requests. */
export function createRequestApi(fields: {
  clock: Clock;
  configuration: () => Configuration | undefined;
  createId: () => string;
  dispatch: (event: EntryEvent) => void;
}): RequestApi {
  const { clock, dispatch } = fields;
  const waiting = new Map<RequestId, (outcome: Outcome) => void>();

  async function submit(
    http: HttpRequest,
    service: string,
  ): Promise<HttpAnswer> {
    const configuration = fields.configuration();
    const id = fields.createId();
    if (configuration === undefined) {
      const outcome = refuse(Reason.StoreUnavailable);
      return outcomeAnswer({ request: id, outcome });
    }
    const parsed = parse(http, service, configuration, id);
    if ("status" in parsed) return parsed;
    const outcome = await wait(http, parsed);
    return outcomeAnswer({ request: id, outcome });
  }

  function wait(http: HttpRequest, request: WorkRequest): Promise<Outcome> {
    const now = clock.now();
    return new Promise((resolve) => {
      waiting.set(request.id, resolve);
      http.onDisconnect(() => {
        if (!waiting.delete(request.id)) return;
        const now = clock.now();
        dispatch({ kind: "callerLeft", now, request: request.id });
      });
      const fingerprint = computeFingerprint(request);
      dispatch({ kind: "requestArrived", now, request, fingerprint });
    });
  }

  function parse(
    http: HttpRequest,
    service: string,
    configuration: Configuration,
    id: string,
  ): WorkRequest | HttpAnswer {
    const header = http.headers.authorization;
    const team = findTeam({ header, configuration });
    if (team === undefined) return problem(401, "the bearer token is unknown");
    const known = configuration.services.find((one) => one.name === service);
    if (!known) {
      const outcome = refuse(Reason.UnknownService);
      return outcomeAnswer({ request: id, outcome });
    }
    if (http.body.length > known.bodyLimit) {
      return problem(413, `the body exceeds ${known.bodyLimit} bytes`);
    }
    const className = String(http.headers["x-class"] ?? "");
    const workClass = configuration.classes
      .find((one) => one.name === className);
    if (!workClass) {
      const names = configuration.classes.map((one) => one.name).join(", ");
      return problem(400, `x-class must be one of: ${names}`);
    }
    const deadline = readDeadline(http, workClass.defaultDeadline);
    if (deadline === undefined) {
      const range = `1 to ${MAX_REQUEST_DEADLINE}`;
      return problem(400, `x-deadline-ms must be a number from ${range}`);
    }
    const idempotent = readFlag(http.headers["x-idempotent"]);
    if (idempotent === undefined) {
      return problem(400, "x-idempotent must be true or false");
    }
    const key = readKey(http.headers["idempotency-key"]);
    if (key === null) {
      const text =
        `idempotency-key must be 1 to ${MAX_KEY_LENGTH} visible ASCII`;
      return problem(400, `${text} characters`);
    }
    return {
      id,
      service,
      team,
      class: className,
      deadline: clock.now() + deadline,
      idempotent,
      idempotencyKey: key,
      contentType: String(
        http.headers["content-type"] ?? "application/octet-stream",
      ),
      body: http.body,
    };
  }

  function respond(request: RequestId, outcome: Outcome): void {
    const resolve = waiting.get(request);
    waiting.delete(request);
    resolve?.(outcome);
  }

  const route: Route = {
    method: "POST",
    pattern: "/v1/services/:service/requests",
    handler: submit,
  };
  return { routes: [route], respond, waiting: () => waiting.size };
}

function refuse(reason: Reason): Outcome {
  return { kind: OutcomeKind.NotRun, reason };
}

/**
 * Returns a digest of the work, which tells whether a key is reused for other
 * work.
 */
function computeFingerprint(request: WorkRequest): string {
  return createHash("sha256")
    .update(`${request.service}\n${request.class}\n${request.contentType}\n`)
    .update(request.body)
    .digest("hex");
}

function readDeadline(
  http: HttpRequest,
  fallback: Milliseconds,
): Milliseconds | undefined {
  const header = http.headers["x-deadline-ms"];
  if (header === undefined) return fallback;
  const value = Number(header);
  return value >= 1 && value <= MAX_REQUEST_DEADLINE ? value : undefined;
}

function readFlag(header: unknown): boolean | undefined {
  if (header === undefined || header === "false") return false;
  return header === "true" ? true : undefined;
}

/** Returns the key, undefined if there is none, or null if it is invalid. */
function readKey(header: unknown): string | undefined | null {
  if (header === undefined) return undefined;
  const key = String(header);
  const valid = key.length <= MAX_KEY_LENGTH && KEY_PATTERN.test(key);
  return valid ? key : null;
}
