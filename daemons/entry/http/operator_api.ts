/**
 * What operators see and do besides the configuration.
 *
 * @module
 */

import type { Clock, EntryEvent } from "@dragonflyledge/model";
import type { AuditFilter } from "@dragonflyledge/audit";
import type { Records } from "../records.ts";
import { json, problem } from "./server.ts";
import type { HttpAnswer, HttpRequest, Route } from "./server.ts";

/** Creates the routes for status, audit trail and drains. */
export function createOperatorApi(fields: {
  clock: Clock;
  records: Records;
  findOperator: (request: HttpRequest) => string | undefined;
  status: () => unknown;
  /** Whether this entry knows the worker. */
  knowsWorker: (worker: string) => boolean;
  ready: () => boolean;
  dispatch: (event: EntryEvent) => void;
}): Route[] {
  const { clock, records, dispatch } = fields;

  function denied(request: HttpRequest): HttpAnswer | undefined {
    if (fields.findOperator(request) !== undefined) return undefined;
    return problem(401, "the bearer token is not an operator's");
  }

  function status(request: HttpRequest): HttpAnswer {
    return denied(request) ?? json(200, fields.status());
  }

  async function audit(request: HttpRequest): Promise<HttpAnswer> {
    const refusal = denied(request);
    if (refusal) return refusal;
    const filter = readFilter(request.query);
    if (typeof filter === "string") return problem(400, filter);
    const listed = await records.readAudit(filter);
    if (listed.isErr()) return problem(503, listed.error.message);
    return json(200, { records: listed.value });
  }

  function drain(request: HttpRequest, worker: string): HttpAnswer {
    const refusal = denied(request);
    if (refusal) return refusal;
    if (!fields.knowsWorker(worker)) {
      return problem(404, `there is no worker ${worker}`);
    }
    dispatch({ kind: "drainRequested", now: clock.now(), worker });
    return json(202, { worker, state: "draining" });
  }

  function ready(): HttpAnswer {
    return fields.ready()
      ? json(200, { ready: true })
      : json(503, { ready: false });
  }

  return [
    { method: "GET", pattern: "/v1/status", handler: status },
    { method: "GET", pattern: "/v1/audit", handler: audit },
    { method: "POST", pattern: "/v1/workers/:id/drain", handler: drain },
    { method: "GET", pattern: "/readyz", handler: ready },
    { method: "GET", pattern: "/livez", handler: () => json(200, {}) },
  ];
}

/** Returns the filter, or a sentence that says what is wrong with it. */
function readFilter(query: URLSearchParams): AuditFilter | string {
  const filter: AuditFilter = {};
  for (const name of ["team", "worker", "kind", "job"] as const) {
    const value = query.get(name);
    if (value !== null) filter[name] = value;
  }
  const times = [["since", "from"], ["until", "to"]] as const;
  for (const [name, field] of times) {
    const value = query.get(name);
    if (value === null) continue;
    const time = new Date(value);
    if (Number.isNaN(time.getTime())) return `${name} must be an ISO 8601 time`;
    filter[field] = time;
  }
  return filter;
}
