/**
 * HTTP connections to the store. Every call has a deadline, and connections
 * that went silent are abandoned.
 *
 * @module
 */

import { Buffer } from "node:buffer";
import { type Dispatcher, Pool } from "undici";
import { err, ok, type Result } from "neverthrow";
import {
  ErrorCode,
  MEBIBYTE,
  type Milliseconds,
  StepError,
  type Timer,
} from "@dragonflyledge/model";

/** A list of 13,000 tasks with records of 2 KiB is about 35 MiB in base64. */
const maxAnswerSize = 64 * MEBIBYTE;

/** Calls and streams over connections that are replaced when they go silent. */
export interface EtcdConnections {
  /** Resolves to the text of a successful answer. */
  call(path: string, body: unknown): Promise<Result<string, StepError>>;
  /** Opens a stream; `signal` ends it. Headers are not waited for. */
  openStream(path: string, body: unknown, signal: AbortSignal): Promise<
    Dispatcher.ResponseData
  >;
  /** Adds a task for the time when connections are found to be silent. */
  onReplaced(task: () => void): () => void;
  /** Replaces all connections. */
  replaceAll(): void;
  /** Error of this peer. */
  fail(
    code: ErrorCode,
    step: string,
    message: string,
    cause?: unknown,
  ): StepError;
  close(): Promise<void>;
}

/** Returns connections to the gateway at `url`. */
export function createEtcdConnections(
  { url, timeout, timer, connections }: {
    url: string;
    timeout: Milliseconds;
    timer: Timer;
    connections: number;
  },
): EtcdConnections {
  const listeners = new Set<() => void>();
  // Deadlines are set here, so that undici's own, coarser ones are off.
  const createPool = () =>
    new Pool(url, {
      connections,
      pipelining: 1,
      headersTimeout: 0,
      bodyTimeout: 0,
      connect: { timeout },
    });
  let pool = createPool();

  const fail: EtcdConnections["fail"] = (code, step, message, cause) =>
    new StepError({ code, step, peer: url, message, cause });

  /**
   * A timeout may mean that the network dropped every connection silently, and
   * each idle one would cost one more timeout.
   */
  function abandon(): void {
    const old = pool;
    pool = createPool();
    old.close().catch(() => {});
    [...listeners].forEach((listener) => listener());
  }

  async function call(
    path: string,
    body: unknown,
  ): Promise<Result<string, StepError>> {
    const controller = new AbortController();
    const used = pool;
    let late = false;
    const cancel = timer.after(timeout, () => {
      late = true;
      controller.abort();
    });
    try {
      const { signal } = controller;
      const answer = await used.request(encodeRequest(path, body, signal));
      const text = await readText(answer.body);
      return checkStatus(path, answer.statusCode, text);
    } catch (cause) {
      if (late && used === pool) abandon();
      const message = late
        ? `no answer within ${timeout} ms`
        : `the call failed: ${cause instanceof Error ? cause.message : cause}`;
      return err(fail(ErrorCode.StoreUnavailable, path, message, cause));
    } finally {
      cancel();
    }
  }

  function checkStatus(
    path: string,
    status: number,
    text: string,
  ): Result<string, StepError> {
    if (status >= 500 || status === 429) {
      const message = `the store answered with status ${status}`;
      return err(fail(ErrorCode.StoreUnavailable, path, message));
    }
    if (status !== 200) {
      const message = `status ${status}: ${text.slice(0, 200)}`;
      return err(fail(ErrorCode.StoreAnswer, path, message));
    }
    return ok(text);
  }

  return {
    call,
    openStream: (path, body, signal) =>
      pool.request(encodeRequest(path, body, signal)),
    onReplaced(task) {
      listeners.add(task);
      return () => void listeners.delete(task);
    },
    replaceAll: abandon,
    fail,
    close: () => pool.destroy(),
  };
}

function encodeRequest(path: string, body: unknown, signal: AbortSignal) {
  return {
    path,
    method: "POST" as const,
    headers: { "content-type": "application/json" },
    body: JSON.stringify(body),
    signal,
  };
}

async function readText(body: AsyncIterable<unknown>): Promise<string> {
  const chunks: Buffer[] = [];
  let size = 0;
  for await (const chunk of body) {
    size += (chunk as Buffer).length;
    if (size > maxAnswerSize) throw new Error("the answer is too large");
    chunks.push(chunk as Buffer);
  }
  return Buffer.concat(chunks).toString();
}
