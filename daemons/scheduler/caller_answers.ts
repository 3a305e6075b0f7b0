/**
 * Answers to callers that several modules give.
 *
 * @module
 */

import type { HttpAnswer } from "@dragonflyledge/program";

/** Status codes that callers are sent. */
export const Status = {
  Ok: 200,
  BadRequest: 400,
  Unauthorized: 401,
  NotFound: 404,
  MethodNotAllowed: 405,
  Gone: 410,
  Unavailable: 503,
  GatewayTimeout: 504,
} as const;

/** Answer for a request that was not carried out and may be sent again. */
export const UNAVAILABLE: HttpAnswer = {
  status: Status.Unavailable,
  headers: { "retry-after": "1" },
};

/** Answer for a request that may have been carried out, or still may be. */
export const OUTCOME_UNKNOWN: HttpAnswer = { status: Status.GatewayTimeout };
