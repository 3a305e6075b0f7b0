/**
 * HTTP connections to the etcd JSON gateway. Every call has a deadline, and all
 * connections are replaced when a call times out.
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

/**
 * Maximum size of an answer in bytes. A list of 13,000 tasks with records of
 * 2 KiB is about 35 MiB in base64.
 */
const maxAnswerSize = 64 * MEBIBYTE;

/** Calls and streams over a pool of connections that can be replaced. */
export interface EtcdConnections {
  /**
   * Posts `body` as JSON and returns the text of the answer. Fails with
   * `DFL_STORE_UNAVAILABLE` on a timeout, a broken connection, or status 429,
   * 500 or above, and with `DFL_STORE_ANSWER` on any other status but 200.
   */
  call(path: string, body: unknown): Promise<Result<string, StepError>>;
  /** Opens a stream that `signal` ends. It has no timeout for its headers. */
  openStream(path: string, body: unknown, signal: AbortSignal): Promise<
    Dispatcher.ResponseData
  >;
  /**
   * Calls `task` whenever the connections are replaced. Returns a function that
   * removes the task.
   */
  onReplaced(task: () => void): () => void;
  /**
   * Sends new calls over new connections, and closes the old ones when idle.
   */
  replaceAll(): void;
  /** Creates an error with the URL of the gateway as its peer. */
  fail(
    code: ErrorCode,
    step: string,
    message: string,
    cause?: unknown,
  ): StepError;
  /** Ends all connections, also those in use. */
  close(): Promise<void>;
}

/**
 * Creates connections to the gateway at `url`, at most `connections` at a time.
 * `timeout` is the longest time until an answer begins, and between two parts of
 * it: a slow link carries a large value for longer. Each call has a deadline in
 * the guarded store.
 */
export function createEtcdConnections(
  { url, timeout, timer, connections }: {
    url: string;
    timeout: Milliseconds;
    timer: Timer;
    connections: number;
  },
): EtcdConnections {
  const listeners = new Set<() => void>();
  // The timeouts of undici are coarse, so they are off and `call` sets its own.
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
   * Replaces the pool. After a timeout, the network may have dropped every
   * connection without notice, and each idle one would cost one more timeout.
   */
  function replaceAll(): void {
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
    let timedOut = false;
    const expire = () => {
      timedOut = true;
      controller.abort();
    };
    let cancel = timer.after(timeout, expire);
    const awaitPart = () => {
      cancel();
      cancel = timer.after(timeout, expire);
    };
    try {
      const { signal } = controller;
      const answer = await used.request(encodeRequest(path, body, signal));
      const text = await readText(answer.body, awaitPart);
      return checkStatus(path, answer.statusCode, text);
    } catch (cause) {
      if (timedOut && used === pool) replaceAll();
      const message = timedOut
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
      const message = `answer with status ${status}: ${text.slice(0, 200)}`;
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
    replaceAll,
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

async function readText(
  body: AsyncIterable<unknown>,
  onPart: () => void,
): Promise<string> {
  const chunks: Buffer[] = [];
  let size = 0;
  for await (const chunk of body) {
    onPart();
    size += (chunk as Buffer).length;
    if (size > maxAnswerSize) throw new Error("the answer is too large");
    chunks.push(chunk as Buffer);
  }
  return Buffer.concat(chunks).toString();
}
