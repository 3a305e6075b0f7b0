/**
 * HTTP interface for callers, to submit, show and cancel jobs.
 *
 * @module
 */

import { MINUTE, SECOND } from "@dragonflyledge/model";
import type { Clock, Milliseconds, Timer } from "@dragonflyledge/model";
import type { Log } from "@dragonflyledge/log";
import { CallerHeader } from "@dragonflyledge/platform";
import type { Deployment, KeyValue } from "@dragonflyledge/platform";
import type {
  Admission,
  HttpAnswer,
  HttpRequest,
  HttpRequestHead,
} from "@dragonflyledge/program";
import { findTarget } from "./call_routing.ts";
import { OUTCOME_UNKNOWN, Status, UNAVAILABLE } from "./caller_answers.ts";
import { createJobCalls } from "./job_calls.ts";
import { createJobStore } from "./job_store.ts";
import type { DeploymentHolder } from "./deployment.ts";
import type { ForwardOutcome, Peers } from "./peers.ts";
import type { Replica } from "./replica.ts";
import { createStoreWait } from "./store_wait.ts";

const DEFAULT_DEADLINE: Milliseconds = 3 * SECOND;
const MAX_DEADLINE: Milliseconds = 10 * MINUTE;
/** The answer is sent this long before the caller's deadline. */
const ANSWER_MARGIN: Milliseconds = 250;

/** Answers the requests of callers. */
export interface CallerApi {
  /**
   * Checks path and key of a request before its body is received. While another
   * entry may know a newer configuration, the body is needed for it.
   */
  admit(head: HttpRequestHead): Admission;
  /**
   * Answers a request, or forwards it to another entry while the store does not
   * answer this one or the configuration is not confirmed.
   */
  answer(request: HttpRequest): Promise<HttpAnswer>;
  /** Answers a request that another entry forwarded, without forwarding it. */
  answerLocally(request: HttpRequest): Promise<HttpAnswer>;
}

/** Creates the interface for callers of one entry. */
export function createCallerApi(fields: {
  store: KeyValue;
  replica: Replica;
  configurations: Pick<
    DeploymentHolder,
    "age" | "current" | "isConfirmed" | "newestUsed"
  >;
  /** Whether the store does not answer this process at present. */
  storeFails: () => boolean;
  forward: Peers["forward"];
  clock: Clock;
  timer: Timer;
  log: Log;
}): CallerApi {
  const { store, replica, configurations, storeFails, clock, timer, log } =
    fields;
  const jobStore = createJobStore({
    store,
    replica,
    storeFails,
    clock,
    timer,
    log,
  });
  const answerCall = createJobCalls({
    jobStore,
    replica,
    deployment: configurations.current,
    clock,
    log,
  });

  /** Whether this entry can carry out no request at present. */
  const isFailing = () => storeFails() || !configurations.isConfirmed();
  const waitForStore = createStoreWait({ isFailing, clock, timer });

  async function answer(request: HttpRequest): Promise<HttpAnswer> {
    const startedAt = clock.now();
    const timeout = callerTimeout(request);
    const failing = isFailing();
    const local = failing ? UNAVAILABLE : await answerLocally(request);
    if (!isInconclusive(local)) return local;
    const left = startedAt + timeout - ANSWER_MARGIN - clock.now();
    if (left <= 0) return local;
    const forwarded = await fields.forward(request, left);
    logForwarded(request, failing ? 0 : local.status, forwarded);
    const resolved = await resolveForwarded({
      request,
      local,
      forwarded,
      failing,
    });
    if (resolved.status !== Status.Unavailable || !isFailing()) return resolved;
    const answers = await waitForStore({ startedAt, timeout });
    return answers ? await answerLocally(request) : resolved;
  }

  /** Logs a forwarded request; `own` is 0 if this entry did not try it. */
  function logForwarded(
    request: HttpRequest,
    own: number,
    forwarded: ForwardOutcome,
  ): void {
    log.info("Request passed to another entry.", {
      method: request.method,
      path: request.path,
      own,
      version: configurations.current()?.version,
      age: Math.round(configurations.age()),
      outcome: forwarded.kind,
      status: forwarded.kind === "answer" ? forwarded.answer.status : 0,
    });
  }

  /**
   * Chooses the answer to a request that was forwarded. A write that the store
   * left unanswered may still take effect: success at another entry proves
   * that it did, but a refusal there does not prove that it won't.
   */
  function resolveForwarded(fields: {
    request: HttpRequest;
    local: HttpAnswer;
    forwarded: ForwardOutcome;
    failing: boolean;
  }): HttpAnswer | Promise<HttpAnswer> {
    const { request, local, forwarded, failing } = fields;
    const peerAnswer = forwarded.kind === "answer"
      ? forwarded.answer
      : undefined;
    if (peerAnswer?.status === Status.Ok) return peerAnswer;
    const uncertain = local.status === Status.GatewayTimeout ||
      peerAnswer?.status === Status.GatewayTimeout ||
      forwarded.kind === "unknown";
    if (uncertain && request.method !== "GET") return OUTCOME_UNKNOWN;
    if (peerAnswer && !isInconclusive(peerAnswer)) return peerAnswer;
    return failing ? answerAlone(request) : local;
  }

  /**
   * Answers a request while neither the store nor a peer decides on it. By a
   * configuration that is not confirmed nothing is refused and nothing carried
   * out; while the store is away, the last known states are shown.
   */
  async function answerAlone(request: HttpRequest): Promise<HttpAnswer> {
    if (configurations.isConfirmed()) return await answerLocally(request);
    const shows = request.method === "GET" && storeFails() &&
      configurations.current()?.version === configurations.newestUsed();
    if (!shows) return UNAVAILABLE;
    const answer = await answerLocally(request);
    return answer.status === Status.Ok ? answer : UNAVAILABLE;
  }

  function admit(head: HttpRequestHead): Admission {
    const current = configurations.current();
    if (!current || isFailing()) return { kind: "admitted" };
    const target = findTarget(current, head);
    if ("status" in target) {
      logRefusal(current, head, target);
      return { kind: "answered", answer: target };
    }
    return target.team === undefined
      ? { kind: "admitted" }
      : { kind: "admitted", owner: target.team };
  }

  /** Logs a request that the configuration does not allow. */
  function logRefusal(
    { version }: Deployment,
    { method, path }: HttpRequestHead,
    { status }: HttpAnswer,
  ): void {
    const age = Math.round(configurations.age());
    log.info("Request not allowed.", { method, path, status, version, age });
  }

  async function answerLocally(request: HttpRequest): Promise<HttpAnswer> {
    const current = configurations.current();
    if (!current) return UNAVAILABLE;
    const target = findTarget(current, request);
    if ("status" in target) {
      logRefusal(current, request, target);
      return target;
    }
    return await answerCall({
      ...target,
      request,
      team: target.team ?? "",
      deadline: clock.now() + callerTimeout(request) - ANSWER_MARGIN,
    });
  }

  return { admit, answer, answerLocally };
}

/** How long the caller waits for an answer; an odd header is ignored. */
function callerTimeout(request: HttpRequest): Milliseconds {
  const timeout = Number(request.headers[CallerHeader.Deadline]);
  return timeout > 0 ? Math.min(timeout, MAX_DEADLINE) : DEFAULT_DEADLINE;
}

/** Whether another entry may be able to give a definite answer. */
function isInconclusive(answer: HttpAnswer): boolean {
  return answer.status === Status.Unavailable ||
    answer.status === Status.GatewayTimeout;
}
