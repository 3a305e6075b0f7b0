/**
 * What callers ask of an entry: to accept, show and cancel jobs.
 *
 * @module
 */

import { MINUTE, SECOND } from "@dragonflyledge/model";
import type { Clock, Milliseconds, Timer } from "@dragonflyledge/model";
import type { Log } from "@dragonflyledge/log";
import {
  CallerHeader,
  decodeSubmission,
  encodeJobState,
  encodePendingCount,
  isJobId,
} from "@dragonflyledge/platform";
import type { Deployment, KeyValue, Queue } from "@dragonflyledge/platform";
import type { HttpAnswer, HttpRequest } from "@dragonflyledge/program";
import { cancelKey, jobKey, progressKey } from "@dragonflyledge/scheduler";
import type { JobRequest } from "@dragonflyledge/scheduler";
import type { ForwardOutcome, Peers } from "./peers.ts";
import { encodeRequest } from "./replica.ts";
import type { Replica } from "./replica.ts";

const Status = {
  Ok: 200,
  BadRequest: 400,
  Unauthorized: 401,
  NotFound: 404,
  MethodNotAllowed: 405,
  Gone: 410,
  Unavailable: 503,
  GatewayTimeout: 504,
} as const;

const DEFAULT_DEADLINE: Milliseconds = 3 * SECOND;
/** An answer is sent so long before the caller stops waiting. */
const ANSWER_MARGIN: Milliseconds = 250;
/** Attempts of a write that the store refuses or leaves unanswered. */
const MAX_ATTEMPTS = 3;
const RETRY_DELAY: Milliseconds = 100;
/** How long a cancel is kept for a job that the store does not hold. */
const FORESTALL_PERIOD: Milliseconds = 2 * MINUTE;
/** Told to callers whose request has not run. */
const RETRY_AFTER = { "retry-after": "1" };
const UNAVAILABLE: HttpAnswer = {
  status: Status.Unavailable,
  headers: RETRY_AFTER,
};
/** The request may have run, or may still run. */
const UNCERTAIN: HttpAnswer = { status: Status.GatewayTimeout };

/** Answers callers' requests. */
export interface CallerApi {
  /** Answers a request, with the help of another entry if need be. */
  answer(request: HttpRequest): Promise<HttpAnswer>;
  /** Answers a request of another entry's caller. */
  answerLocally(request: HttpRequest): Promise<HttpAnswer>;
}

interface Call {
  request: HttpRequest;
  queue: Queue;
  team: string;
  id: string;
  /** Steady time by which the caller must have an answer. */
  deadline: Milliseconds;
}

/** Creates the interface for callers. */
export function createCallerApi(fields: {
  store: KeyValue;
  replica: Replica;
  deployment: () => Deployment | undefined;
  /** Whether the store left this process without an answer just now. */
  storeFails: () => boolean;
  forward: Peers["forward"];
  clock: Clock;
  timer: Timer;
  log: Log;
}): CallerApi {
  const { store, replica, clock, timer, log } = fields;

  const sleep = (delay: Milliseconds) =>
    new Promise<void>((resolve) => {
      timer.after(delay, resolve);
    });

  async function answer(request: HttpRequest): Promise<HttpAnswer> {
    const startedAt = clock.now();
    const failing = fields.storeFails() || !fields.deployment();
    const local = failing ? UNAVAILABLE : await answerLocally(request);
    if (!isUnsettled(local)) return local;
    const left = startedAt + waitOf(request) - ANSWER_MARGIN - clock.now();
    if (left <= 0) return local;
    const passed = await fields.forward(request, left);
    log.info("Request passed to another entry.", {
      method: request.method,
      path: request.path,
      own: failing ? 0 : local.status,
      outcome: passed.kind,
      status: passed.kind === "answer" ? passed.answer.status : 0,
    });
    return settle({ request, local, passed, failing });
  }

  /**
   * A write without an answer may still take effect. Only success tells then
   * that it did; a refusal by another entry does not tell that it won't.
   */
  function settle(fields: {
    request: HttpRequest;
    local: HttpAnswer;
    passed: ForwardOutcome;
    failing: boolean;
  }): HttpAnswer | Promise<HttpAnswer> {
    const { request, local, passed, failing } = fields;
    const told = passed.kind === "answer" ? passed.answer : undefined;
    if (told?.status === Status.Ok) return told;
    const uncertain = local.status === Status.GatewayTimeout ||
      told?.status === Status.GatewayTimeout || passed.kind === "unknown";
    if (uncertain && request.method !== "GET") return UNCERTAIN;
    if (told && !isUnsettled(told)) return told;
    return failing ? answerLocally(request) : local;
  }

  async function answerLocally(request: HttpRequest): Promise<HttpAnswer> {
    const deployment = fields.deployment();
    if (!deployment) return UNAVAILABLE;
    const queue = findQueue(deployment, request);
    if (!queue) return { status: Status.NotFound };
    const team = findTeam(deployment, request);
    if (team === undefined && !queue.anonymous) {
      return { status: Status.Unauthorized };
    }
    const id = request.path.split("?")[0]!.slice(queue.prefix.length);
    const call: Call = {
      request,
      queue,
      team: team ?? "",
      id,
      deadline: clock.now() + waitOf(request) - ANSWER_MARGIN,
    };
    if (request.method === "GET" && id === "") {
      const pending = replica.countPending(queue.name);
      return { status: Status.Ok, body: encodePendingCount(pending) };
    }
    if (!isJobId(id)) return { status: Status.NotFound };
    switch (request.method) {
      case "POST":
        return await submit(call);
      case "GET":
        return await show(call);
      case "DELETE":
        return await cancel(call);
      default:
        return { status: Status.MethodNotAllowed };
    }
  }

  async function submit(call: Call): Promise<HttpAnswer> {
    const { id, queue, team } = call;
    if (replica.jobs.get(id)?.request) return { status: Status.Ok };
    const submission = decodeSubmission(call.request.body);
    if (!submission) return { status: Status.BadRequest };
    const request: JobRequest = {
      ...submission,
      id,
      queue: queue.name,
      team,
      policy: {
        service: queue.service,
        priority: queue.priority,
        maxAttempts: queue.maxAttempts,
      },
      acceptedAt: clock.date().getTime(),
    };
    const result = await create(call, jobKey(id), encodeRequest(request));
    log.info("Submission answered.", {
      job: id,
      queue: queue.name,
      team,
      configuration: fields.deployment()?.version,
      steps: request.steps.length,
      tasks: request.steps.reduce((sum, step) => sum + step.count, 0),
      scheduled: request.schedule !== undefined,
      result,
    });
    return toAnswer(result);
  }

  /**
   * Creates a key that never changes. After a write without an answer the key
   * may still appear, so that the caller isn't told that it does not.
   */
  async function create(
    call: Call,
    key: string,
    value: Uint8Array,
  ): Promise<"stored" | "refused" | "unknown"> {
    // What the store is known to leave unanswered isn't sent, so that the
    // caller can be told for certain that it has not run.
    if (fields.storeFails()) return "refused";
    let uncertain = false;
    for (let attempt = 1; attempt <= MAX_ATTEMPTS; attempt++) {
      const outcome = await store.commit({
        conditions: [{ key, revision: 0 }],
        puts: [{ key, value }],
      });
      if (outcome.kind === "committed" || outcome.kind === "conflict") {
        const item = outcome.kind === "conflict"
          ? outcome.items.get(key)
          : { key, value, revision: outcome.revision };
        replica.apply([{
          kind: "put",
          item: item ?? { key, value, revision: 0 },
        }]);
        return "stored";
      }
      if (outcome.kind === "unknown") uncertain = true;
      if (clock.now() + RETRY_DELAY >= call.deadline) break;
      await sleep(RETRY_DELAY);
    }
    return uncertain ? "unknown" : "refused";
  }

  function toAnswer(result: "stored" | "refused" | "unknown"): HttpAnswer {
    if (result === "stored") return { status: Status.Ok };
    return result === "refused" ? UNAVAILABLE : UNCERTAIN;
  }

  async function show(call: Call): Promise<HttpAnswer> {
    const known = replica.status(call.id) ?? await lookUp(call);
    if (known === "unavailable") return UNAVAILABLE;
    if (known === undefined) return { status: Status.Gone };
    return { status: Status.Ok, body: encodeJobState(known) };
  }

  /** Asks the store, since the replica may be behind. */
  async function lookUp(call: Call) {
    for (const key of [jobKey(call.id), progressKey(call.id)]) {
      const found = await readUntil(call, key);
      if (found === "unavailable") return found;
      if (found === undefined) break;
      replica.apply([{ kind: "put", item: found }]);
    }
    return replica.status(call.id);
  }

  async function readUntil(call: Call, key: string) {
    for (let attempt = 1; attempt <= MAX_ATTEMPTS; attempt++) {
      if (fields.storeFails()) break;
      const found = await store.read(key);
      if (found.isOk()) return found.value;
      if (clock.now() + RETRY_DELAY >= call.deadline) break;
      await sleep(RETRY_DELAY);
    }
    return "unavailable";
  }

  async function cancel(call: Call): Promise<HttpAnswer> {
    const known = replica.status(call.id) ?? await lookUp(call);
    if (known === "unavailable") return UNAVAILABLE;
    if (known === undefined) return await forestall(call);
    const result = await create(call, cancelKey(call.id), new Uint8Array());
    log.info("Cancel answered.", { job: call.id, result });
    return toAnswer(result);
  }

  /**
   * A submission without an answer may still be stored after the caller has
   * been told that there is no such job. A cancel that the store holds before
   * keeps the job from running.
   */
  async function forestall(call: Call): Promise<HttpAnswer> {
    const lease = await store.grant(FORESTALL_PERIOD);
    if (lease.isErr()) return UNAVAILABLE;
    const key = cancelKey(call.id);
    const outcome = await store.commit({
      conditions: [{ key: jobKey(call.id), revision: 0 }],
      puts: [{ key, value: new Uint8Array(), lease: lease.value }],
    });
    log.info("Cancel of an unknown job.", {
      job: call.id,
      outcome: outcome.kind,
    });
    switch (outcome.kind) {
      case "committed":
        return { status: Status.Gone };
      case "conflict":
        return toAnswer(await create(call, key, new Uint8Array()));
      case "unknown":
        return UNCERTAIN;
      default:
        return UNAVAILABLE;
    }
  }

  return { answer, answerLocally };
}

function waitOf(request: HttpRequest): Milliseconds {
  return Number(request.headers[CallerHeader.Deadline]) || DEFAULT_DEADLINE;
}

/** Whether another entry may know better. */
function isUnsettled(answer: HttpAnswer): boolean {
  return answer.status === Status.Unavailable ||
    answer.status === Status.GatewayTimeout;
}

/** The queue with the longest prefix of the path, on the request's host. */
function findQueue(
  deployment: Deployment,
  request: HttpRequest,
): Queue | undefined {
  const host = (request.headers.host ?? "").toLowerCase().split(":")[0];
  let best: Queue | undefined;
  for (const queue of deployment.queues) {
    if (queue.host !== host || !request.path.startsWith(queue.prefix)) continue;
    if (!best || queue.prefix.length > best.prefix.length) best = queue;
  }
  return best;
}

function findTeam(
  deployment: Deployment,
  request: HttpRequest,
): string | undefined {
  const key = request.headers[CallerHeader.Key];
  if (typeof key !== "string" || key === "") return undefined;
  return deployment.teams.find((team) => team.keys.includes(key))?.name;
}
