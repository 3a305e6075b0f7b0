/**
 * Converts the outcome of a request into an HTTP answer.
 *
 * @module
 */

import { OutcomeKind, Reason } from "@dragonflyledge/model";
import type { Outcome, RequestId } from "@dragonflyledge/model";
import { json } from "./server.ts";
import type { HttpAnswer } from "./server.ts";

/** Status codes by reason of refusal; other reasons give 503. */
const STATUS_BY_REASON: Partial<Record<Reason, number>> = {
  [Reason.QueueFull]: 429,
  [Reason.QuotaExceeded]: 429,
  [Reason.DeadlinePassed]: 504,
  [Reason.DeadlineUnreachable]: 503,
  [Reason.UnknownService]: 404,
  [Reason.UnknownClass]: 400,
  [Reason.KeyReused]: 422,
  [Reason.NeverFits]: 422,
  [Reason.Cancelled]: 409,
};

/** Status code for an unknown outcome. */
export const UNKNOWN_STATUS = 502;
const DEFAULT_REFUSAL_STATUS = 503;

/** Returns the status code for a request that was refused for this reason. */
export function refusalStatus(reason: Reason): number {
  return STATUS_BY_REASON[reason] ?? DEFAULT_REFUSAL_STATUS;
}

/**
 * Returns the HTTP answer for an outcome. The header `x-outcome` contains the
 * kind of outcome. Refusals and unknown outcomes have a JSON body.
 */
export function outcomeAnswer(fields: {
  request: RequestId;
  outcome: Outcome;
}): HttpAnswer {
  const { request, outcome } = fields;
  const headers = { "x-outcome": outcome.kind, "x-request-id": request };
  switch (outcome.kind) {
    case OutcomeKind.Done:
    case OutcomeKind.Failed:
      return {
        status: outcome.answer.status,
        headers: { ...headers, "content-type": outcome.answer.contentType },
        body: outcome.answer.body,
      };
    case OutcomeKind.NotRun:
    case OutcomeKind.Unknown: {
      const status = outcome.kind === OutcomeKind.Unknown
        ? UNKNOWN_STATUS
        : refusalStatus(outcome.reason);
      const body = { outcome: outcome.kind, reason: outcome.reason, request };
      return json(status, body, headers);
    }
  }
}
