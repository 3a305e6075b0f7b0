/**
 * Callers that send requests, note what they were told, and compare it with
 * what the endpoints recorded.
 *
 * @module
 */

import { request } from "undici";
import { createRandom } from "@dragonflyledge/model";
import type { Cluster, EntryNode } from "./cluster.ts";
import { tokenOf } from "./cluster.ts";
import { waitUntil } from "./wait.ts";

const ANSWER_TIMEOUT = 30_000;
/** Tries of a keyed request whose connection broke. */
const MAX_TRIES = 20;

/** What one try of a request was told. */
export interface TryResult {
  /** `refused` means that no connection existed, `broken` that it broke. */
  outcome: "done" | "failed" | "not-run" | "unknown" | "refused" | "broken";
  entry: string;
  /** Whether the entry had been killed by the test. */
  killed: boolean;
  request: string;
  status: number;
  body: string;
}

/** A request as the caller sees it, with all tries. */
export interface SentRequest {
  tag: string;
  body: string;
  idempotent: boolean;
  key?: string;
  size?: number;
  tries: TryResult[];
}

/** Work that callers send. */
export interface RequestTemplate {
  team: string;
  class: string;
  runMs: number;
  idempotent?: boolean;
  key?: string;
  deadline?: number;
  /** Bytes of the answer; by default it repeats the body. */
  size?: number;
}

/** Creates the callers of a cluster. */
export function createCallers(cluster: Cluster) {
  const sent: SentRequest[] = [];

  async function ask(
    entry: EntryNode,
    one: SentRequest,
    work: RequestTemplate,
  ): Promise<TryResult> {
    const told = {
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
          authorization: `Bearer ${tokenOf(work.team)}`,
          "content-type": "application/json",
          "x-class": work.class,
          "x-deadline-ms": String(work.deadline ?? 10_000),
          "x-idempotent": String(one.idempotent),
          ...(one.key === undefined ? {} : { "idempotency-key": one.key }),
        },
        body: one.body,
        reset: true,
        headersTimeout: ANSWER_TIMEOUT,
        bodyTimeout: ANSWER_TIMEOUT,
      });
      const body = await answer.body.text();
      const outcome = String(
        answer.headers["x-outcome"],
      ) as TryResult["outcome"];
      const id = String(answer.headers["x-request-id"]);
      return { ...told, outcome, request: id, body, status: answer.statusCode };
    } catch (cause) {
      const { code, message } = cause as Error & { code?: string };
      const outcome = code === "ECONNREFUSED" ? "refused" : "broken";
      return { ...told, outcome, killed: entry.killed, body: message };
    }
  }

  async function pick(wanted: number, not?: string): Promise<EntryNode> {
    let found: EntryNode | undefined;
    await waitUntil("an entry is ready", ANSWER_TIMEOUT, () => {
      if (cluster.stopped()) throw new Error("the cluster has been stopped");
      const ready = cluster.entries
        .filter((entry) => entry.ready && entry.id !== not);
      found = ready[wanted % Math.max(1, ready.length)];
      return found !== undefined;
    });
    return found!;
  }

  /** Sends to one entry; asks again elsewhere where that is harmless. */
  async function send(work: RequestTemplate, at: number): Promise<SentRequest> {
    const tag = `t${sent.length + 1}`;
    const one: SentRequest = {
      tag,
      body: JSON.stringify({ runMs: work.runMs, tag, size: work.size }),
      idempotent: work.idempotent ?? false,
      tries: [],
      ...(work.key === undefined ? {} : { key: work.key }),
      ...(work.size === undefined ? {} : { size: work.size }),
    };
    sent.push(one);
    for (let tries = 0; tries < MAX_TRIES; tries++) {
      const entry = await pick(at + tries, one.tries.at(-1)?.entry);
      const told = await ask(entry, one, work);
      one.tries.push(told);
      const harmless = one.key !== undefined || one.idempotent;
      const again = told.outcome === "refused" ||
        (told.outcome === "broken" && harmless);
      if (!again) break;
    }
    return one;
  }

  /** Repeats a request with its key at another entry. */
  async function repeatElsewhere(
    one: SentRequest,
    work: RequestTemplate,
  ): Promise<TryResult> {
    const entry = await pick(0, one.tries.at(-1)!.entry);
    return await ask(entry, one, work);
  }

  /** Sends drawn work from several callers until `done`. */
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
        const work = { ...draw(fields.kinds) };
        if (random() < 0.3) work.key = `k${fields.seed}-${++count}`;
        await send(work, Math.floor(random() * cluster.entries.length));
      }
    };
    const callers = Array.from({ length: fields.callers }, run);
    await Promise.all(callers).catch((cause) => {
      if (!cluster.stopped()) throw cause;
    });
  }

  /** Returns one line for each thing that callers were told and is untrue. */
  function findContradictions(): string[] {
    const byRequest = new Map<string, number>();
    const byTag = new Map<string, number>();
    const ended = new Set<string>();
    for (const { endpoint } of cluster.agents) {
      for (const execution of endpoint.executions) {
        const { tag } = JSON.parse(execution.body) as { tag: string };
        byTag.set(tag, (byTag.get(tag) ?? 0) + 1);
        const runs = byRequest.get(execution.request) ?? 0;
        byRequest.set(execution.request, runs + 1);
        if (execution.ended !== undefined) ended.add(tag);
      }
    }
    const found: string[] = [];
    for (const one of sent) {
      const runs = byTag.get(one.tag) ?? 0;
      const note = (text: string) =>
        found.push(`${one.tag}: ${text}, ${runs} runs: ${JSON.stringify(one)}`);
      const last = one.tries.at(-1)!;
      if (last.outcome === "done") {
        if (!ended.has(one.tag)) note("done, but it never ran to its end");
        const whole = one.size === undefined
          ? last.body === one.body
          : last.body.length === one.size;
        if (!whole) note("the answer is not whole");
      }
      for (const told of one.tries) {
        if (told.outcome !== "not-run") continue;
        if (byRequest.has(told.request)) note("not-run, but it ran");
      }
      if (one.tries.length === 1 && last.outcome === "not-run" && runs > 0) {
        note("not-run, but it ran");
      }
      if (!one.idempotent && runs > 1) note("it ran more than once");
      const known = ["done", "failed", "not-run", "unknown"];
      const excused = last.outcome === "broken" && last.killed;
      if (!known.includes(last.outcome) && !excused) note("no outcome");
      for (const told of one.tries) {
        if (told.outcome === "broken" && !told.killed) {
          note("a connection broke that no fault had broken");
        }
      }
    }
    for (const { id, endpoint } of cluster.agents) {
      if (endpoint.running.peak > cluster.slots) {
        found.push(`${id} ran ${endpoint.running.peak} requests together`);
      }
    }
    return found;
  }

  /** Reasons of refusals, with their counts. */
  function countRefusals(): Record<string, number> {
    const counts: Record<string, number> = {};
    for (const told of sent.flatMap((one) => one.tries)) {
      if (told.outcome !== "not-run") continue;
      const { reason } = JSON.parse(told.body) as { reason: string };
      counts[reason] = (counts[reason] ?? 0) + 1;
    }
    return counts;
  }

  /** Counts of the outcomes that callers were left with. */
  function countOutcomes(): Record<string, number> {
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
    countOutcomes,
    countRefusals,
  };
}
