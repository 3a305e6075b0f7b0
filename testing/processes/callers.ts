/**
 * Callers that send requests, record the results that entries reported, and
 * compare these results with the executions that the endpoints recorded.
 *
 * @module
 */

import { request } from "undici";
import { createRandom } from "@dragonflyledge/model";
import type { Cluster, EntryNode } from "./cluster.ts";
import { tokenOf } from "./cluster.ts";
import { waitUntil } from "./wait.ts";

const ANSWER_TIMEOUT = 30_000;
/** Most times that one request is sent while its connections fail. */
const MAX_TRIES = 20;

/** Result of sending a request once, as its caller sees it. */
export interface TryResult {
  /**
   * The outcome that the entry reported, or `refused` if the connection was
   * refused, or `broken` if the request failed in another way without an answer.
   */
  outcome: "done" | "failed" | "not-run" | "unknown" | "refused" | "broken";
  /** Identifier of the entry. */
  entry: string;
  /** Whether a test had killed the entry at any time before the failure. */
  killed: boolean;
  /** Identifier that the entry gave the request; empty without an answer. */
  request: string;
  /** HTTP status; 0 without an answer. */
  status: number;
  /** Body of the answer, or the error message without an answer. */
  body: string;
}

/** A request with the results of all its tries. */
export interface SentRequest {
  /** Unique text in the body, by which endpoint records are matched. */
  tag: string;
  body: string;
  idempotent: boolean;
  /** Idempotency key. */
  key?: string;
  /** Length of the expected answer; by default the answer equals the body. */
  size?: number;
  tries: TryResult[];
}

/** Parameters from which requests are made. */
export interface RequestTemplate {
  team: string;
  class: string;
  /** Milliseconds for which the endpoint runs the request. */
  runMs: number;
  /** False by default. */
  idempotent?: boolean;
  /** Idempotency key. */
  key?: string;
  /** Deadline in milliseconds, 10,000 by default. */
  deadline?: number;
  /** Length of the answer in bytes; by default it repeats the body. */
  size?: number;
}

/** Creates callers that send requests to the entries of a cluster. */
export function createCallers(cluster: Cluster) {
  const sent: SentRequest[] = [];

  /** Sends a request to an entry once. */
  async function sendOnce(
    entry: EntryNode,
    sentRequest: SentRequest,
    template: RequestTemplate,
  ): Promise<TryResult> {
    const result = {
      entry: entry.id,
      killed: false,
      request: "",
      status: 0,
      body: "",
    };
    const path = `/v1/services/${cluster.service}/requests`;
    try {
      const answer = await request(entry.url + path, {
        method: "POST",
        headers: {
          authorization: `Bearer ${tokenOf(template.team)}`,
          "content-type": "application/json",
          "x-class": template.class,
          "x-deadline-ms": String(template.deadline ?? 10_000),
          "x-idempotent": String(sentRequest.idempotent),
          ...(sentRequest.key === undefined
            ? {}
            : { "idempotency-key": sentRequest.key }),
        },
        body: sentRequest.body,
        reset: true,
        headersTimeout: ANSWER_TIMEOUT,
        bodyTimeout: ANSWER_TIMEOUT,
      });
      const body = await answer.body.text();
      const outcome = String(
        answer.headers["x-outcome"],
      ) as TryResult["outcome"];
      const id = String(answer.headers["x-request-id"]);
      return {
        ...result,
        outcome,
        request: id,
        body,
        status: answer.statusCode,
      };
    } catch (cause) {
      const { code, message } = cause as Error & { code?: string };
      const outcome = code === "ECONNREFUSED" ? "refused" : "broken";
      return { ...result, outcome, killed: entry.killed, body: message };
    }
  }

  /**
   * Waits for a ready entry other than `excluded`, and picks by `index` if there
   * are several. Throws when the cluster is stopped or after `ANSWER_TIMEOUT`.
   */
  async function pickEntry(
    index: number,
    excluded?: string,
  ): Promise<EntryNode> {
    let found: EntryNode | undefined;
    await waitUntil("an entry is ready", ANSWER_TIMEOUT, () => {
      if (cluster.stopped()) throw new Error("the cluster has been stopped");
      const ready = cluster.entries
        .filter((entry) => entry.ready && entry.id !== excluded);
      found = ready[index % Math.max(1, ready.length)];
      return found !== undefined;
    });
    return found!;
  }

  /**
   * Sends a request to the entry with index `at` among the ready ones. Sends it
   * again to another entry if the connection was refused, or if it broke and
   * the request is idempotent or has a key.
   */
  async function send(
    template: RequestTemplate,
    at: number,
  ): Promise<SentRequest> {
    const tag = `t${sent.length + 1}`;
    const sentRequest: SentRequest = {
      tag,
      body: JSON.stringify({ runMs: template.runMs, tag, size: template.size }),
      idempotent: template.idempotent ?? false,
      tries: [],
      ...(template.key === undefined ? {} : { key: template.key }),
      ...(template.size === undefined ? {} : { size: template.size }),
    };
    sent.push(sentRequest);
    for (let tries = 0; tries < MAX_TRIES; tries++) {
      const entry = await pickEntry(
        at + tries,
        sentRequest.tries.at(-1)?.entry,
      );
      const result = await sendOnce(entry, sentRequest, template);
      sentRequest.tries.push(result);
      const repeatable = sentRequest.key !== undefined ||
        sentRequest.idempotent;
      const sendAgain = result.outcome === "refused" ||
        (result.outcome === "broken" && repeatable);
      if (!sendAgain) break;
    }
    return sentRequest;
  }

  /** Sends a request again to an entry other than that of its last try. */
  async function repeatElsewhere(
    sentRequest: SentRequest,
    template: RequestTemplate,
  ): Promise<TryResult> {
    const entry = await pickEntry(0, sentRequest.tries.at(-1)!.entry);
    return await sendOnce(entry, sentRequest, template);
  }

  /**
   * Sends randomly chosen requests from concurrent callers until `done` returns
   * true or the cluster is stopped. About 30 % of the requests get a key.
   */
  async function generateLoad(fields: {
    seed: number;
    callers: number;
    kinds: RequestTemplate[];
    done: () => boolean;
  }): Promise<void> {
    const random = createRandom(fields.seed);
    const draw = <T>(list: T[]) => list[Math.floor(random() * list.length)]!;
    let count = 0;
    const run = async () => {
      while (!fields.done() && !cluster.stopped()) {
        const template = { ...draw(fields.kinds) };
        if (random() < 0.3) template.key = `k${fields.seed}-${++count}`;
        await send(template, Math.floor(random() * cluster.entries.length));
      }
    };
    const callers = Array.from({ length: fields.callers }, run);
    await Promise.all(callers).catch((cause) => {
      if (!cluster.stopped()) throw cause;
    });
  }

  /**
   * Returns a line for each contradiction between the results of callers and
   * the records of the endpoints: a request that was reported as done without
   * having ended, or as not run though it ran; a request without an outcome
   * though its entry was not killed, or that ran twice though it was not
   * idempotent; an incomplete answer; a connection that broke though its entry
   * was not killed; and an endpoint that
   * ran more requests at once than it has slots.
   */
  function findContradictions(): string[] {
    const runsByRequest = new Map<string, number>();
    const runsByTag = new Map<string, number>();
    const endedTags = new Set<string>();
    for (const { endpoint } of cluster.agents) {
      for (const execution of endpoint.executions) {
        const { tag } = JSON.parse(execution.body) as { tag: string };
        runsByTag.set(tag, (runsByTag.get(tag) ?? 0) + 1);
        const runs = runsByRequest.get(execution.request) ?? 0;
        runsByRequest.set(execution.request, runs + 1);
        if (execution.ended !== undefined) endedTags.add(tag);
      }
    }
    const found: string[] = [];
    for (const sentRequest of sent) {
      const runs = runsByTag.get(sentRequest.tag) ?? 0;
      const note = (text: string) =>
        found.push(
          `${sentRequest.tag}: ${text}, ${runs} runs: ${
            JSON.stringify(sentRequest)
          }`,
        );
      const last = sentRequest.tries.at(-1)!;
      if (last.outcome === "done") {
        if (!endedTags.has(sentRequest.tag)) note("done, but it did not end");
        const complete = sentRequest.size === undefined
          ? last.body === sentRequest.body
          : last.body.length === sentRequest.size;
        if (!complete) note("the answer is incomplete");
      }
      for (const result of sentRequest.tries) {
        if (result.outcome !== "not-run") continue;
        if (runsByRequest.has(result.request)) note("not-run, but it ran");
      }
      if (
        sentRequest.tries.length === 1 && last.outcome === "not-run" && runs > 0
      ) {
        note("not-run, but it ran");
      }
      if (!sentRequest.idempotent && runs > 1) note("it ran more than once");
      const known = ["done", "failed", "not-run", "unknown"];
      const excused = last.outcome === "broken" && last.killed;
      if (!known.includes(last.outcome) && !excused) note("no outcome");
      for (const result of sentRequest.tries) {
        if (result.outcome === "broken" && !result.killed) {
          note("the connection broke, but the entry was not killed");
        }
      }
    }
    for (const { id, endpoint } of cluster.agents) {
      if (endpoint.running.peak > cluster.slots) {
        found.push(`${id} ran ${endpoint.running.peak} requests at once`);
      }
    }
    return found;
  }

  /** Counts the results with outcome `not-run` by their reason. */
  function countRefusals(): Record<string, number> {
    const counts: Record<string, number> = {};
    for (const result of sent.flatMap((sentRequest) => sentRequest.tries)) {
      if (result.outcome !== "not-run") continue;
      const { reason } = JSON.parse(result.body) as { reason: string };
      counts[reason] = (counts[reason] ?? 0) + 1;
    }
    return counts;
  }

  /** Counts requests by the outcome of their last try. */
  function outcomes(): Record<string, number> {
    const counts: Record<string, number> = {};
    for (const { tries } of sent) {
      const outcome = tries.at(-1)?.outcome ?? "waiting";
      counts[outcome] = (counts[outcome] ?? 0) + 1;
    }
    return counts;
  }

  return {
    sent,
    send,
    repeatElsewhere,
    generateLoad,
    findContradictions,
    outcomes,
    countRefusals,
  };
}
