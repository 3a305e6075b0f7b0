/**
 * Arrival of requests: refusal at once, claim of the idempotency key, or queue.
 *
 * @module
 */

import type {
  EntryEvent,
  Milliseconds,
  Outcome,
  WorkRequest,
} from "@dragonflyledge/model";
import { Reason } from "@dragonflyledge/model";
import type { Emit, EntryState } from "../state.ts";
import { claimKey, claimOrFollow } from "./claim_calls.ts";
import { serviceOf } from "./dispatch.ts";
import { finishRequest } from "./finish.ts";
import { checkAdmission, classOf, queueRequest } from "./queueing.ts";
import type { OpenRequest } from "./state.ts";
import { Phase } from "./state.ts";
import { isWithoutEndpoint } from "./timers.ts";

/**
 * Opens a request. It is refused at once if it cannot run or cannot be in time.
 * Otherwise its idempotency key is claimed, or it is queued if it has none.
 */
export function acceptRequest(
  state: EntryState,
  event: EntryEvent & { kind: "requestArrived" },
  emit: Emit,
): void {
  const { now } = event;
  const { open, byKey } = state.requests;
  if (open.has(event.request.id)) return;
  const request = createOpenRequest(
    event.request,
    event.fingerprint,
    event.now,
  );
  open.set(request.id, request);
  const key = claimKey(request.request);
  const holder = key === undefined ? undefined : byKey.get(key);
  const refused = checkRequest(state, request, now) ??
    // A repeat only waits for the outcome of the request that holds the key,
    // so that it adds no load and is not refused for load.
    (holder === undefined
      ? checkLoad(state, request, now)
      : checkFingerprint(request, holder));
  if (refused !== undefined) {
    finishRequest(state, request, refused, now, emit);
  } else if (key !== undefined) claimOrFollow(state, request, now);
  else queueRequest(state, request, now, emit);
}

/** Returns the refusal of a request that cannot run under any load. */
function checkRequest(
  state: EntryState,
  request: OpenRequest,
  now: Milliseconds,
): Outcome | undefined {
  if (state.stopping) return notRun(Reason.ShuttingDown);
  if (state.configuration === undefined) return notRun(Reason.NoEndpoint);
  if (serviceOf(state, request) === undefined) {
    return notRun(Reason.UnknownService);
  }
  if (classOf(state, request) === undefined) return notRun(Reason.UnknownClass);
  if (request.deadline <= now) return notRun(Reason.DeadlinePassed);
  return undefined;
}

/** Returns the refusal of a request that cannot run under the present load. */
function checkLoad(
  state: EntryState,
  request: OpenRequest,
  now: Milliseconds,
): Outcome | undefined {
  if (isWithoutEndpoint(state, request.service, now)) {
    return notRun(Reason.NoEndpoint);
  }
  return checkAdmission(state, request, classOf(state, request)!, now);
}

/** Returns the refusal of a request that uses the key of other work. */
function checkFingerprint(
  request: OpenRequest,
  holder: OpenRequest,
): Outcome | undefined {
  return holder.fingerprint === request.fingerprint
    ? undefined
    : notRun(Reason.KeyReused);
}

function notRun(reason: Reason): Outcome {
  return { kind: "not-run", reason };
}

function createOpenRequest(
  request: WorkRequest,
  fingerprint: string,
  now: Milliseconds,
): OpenRequest {
  return {
    id: request.id,
    service: request.service,
    team: request.team,
    class: request.class,
    deadline: request.deadline,
    request,
    fingerprint,
    arrivedAt: now,
    phase: Phase.Backoff,
    timerAt: request.deadline,
    urgent: false,
    long: false,
    attempts: 0,
    retries: 0,
    refusals: 0,
    needsBudget: false,
    running: undefined,
    mayHaveRun: false,
    avoid: undefined,
    claim: undefined,
    claimReads: 0,
    callerLeft: false,
    followers: [],
    ended: false,
  };
}
