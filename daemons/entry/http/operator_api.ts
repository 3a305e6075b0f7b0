/**
 * HTTP routes for operators other than the configuration, and health checks.
 *
 * @module
 */

import type { Clock, EntryEvent } from "@dragonflyledge/model";
import type { AuditFilter } from "@dragonflyledge/audit";
import type { Records } from "../records.ts";
import { json, problem } from "./server.ts";
import type { HttpAnswer, HttpRequest, Route } from "./server.ts";

/**
 * Creates the routes for the status, the audit trail, drains of workers, and
 * the health checks, which need no token.
 */
export function createOperatorApi(fields: {
  clock: Clock;
  records: Records;
  /** Returns the name of the operator who makes the request, or undefined. */
  findOperator: (request: HttpRequest) => string | undefined;
  /** Returns the status document. */
  status: () => unknown;
  /** Whether this entry knows the worker. */
  knowsWorker: (worker: string) => boolean;
  /** Whether this entry can take requests. */
  ready: () => boolean;
  dispatch: (event: EntryEvent) => void;
}): Route[] {
  const { clock, records, dispatch } = fields;

  /** Returns the answer to a request that is not from an operator. */
  function refuseOthers(request: HttpRequest): HttpAnswer | undefined {
    if (fields.findOperator(request) !== undefined) return undefined;
    return problem(401, "the bearer token is not an operator's");
  }

  function status(request: HttpRequest): HttpAnswer {
    return refuseOthers(request) ?? json(200, fields.status());
  }

  async function audit(request: HttpRequest): Promise<HttpAnswer> {
    const refusal = refuseOthers(request);
    if (refusal) return refusal;
    const filter = readFilter(request.query);
    if (typeof filter === "string") return problem(400, filter);
    const listed = await records.readAudit(filter);
    if (listed.isErr()) return problem(503, listed.error.message);
    return json(200, { records: listed.value });
  }

  function drain(request: HttpRequest, worker: string): HttpAnswer {
    const refusal = refuseOthers(request);
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

/** Returns the filter, or a message that says what is wrong with the query. */
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
