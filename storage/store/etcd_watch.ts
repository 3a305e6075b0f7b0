/**
 * Watches over the etcd v3 JSON gateway. Each watch is one streamed answer.
 *
 * @module
 */

import { StringDecoder } from "node:string_decoder";
import type { Buffer } from "node:buffer";
import {
  ErrorCode,
  MEBIBYTE,
  type Milliseconds,
  StepError,
  type Timer,
} from "@dragonflyledge/model";
import {
  decodeChanges,
  encodePrefixRange,
  expectObject,
} from "./etcd_codec.ts";
import type { EtcdConnections } from "./etcd_connections.ts";
import type { Store, Watch } from "./store.ts";

const watchPath = "/v3/watch";
/**
 * Maximum size of one message in bytes. A message holds the events of one
 * transaction, which writes at most 128 values.
 */
const maxMessageSize = 192 * MEBIBYTE;

/**
 * Starts a watch. It ends after `lifetime`, because a watch on a connection
 * that was dropped without notice cannot be told from one without changes. It
 * fails with `DFL_STORE_UNAVAILABLE` if it has not started within `timeout`,
 * and when its stream breaks.
 */
export function startEtcdWatch(
  { connections, timer, timeout, lifetime, prefix, onStart, onChange, onEnd }:
    & Parameters<Store["watch"]>[0]
    & {
      connections: EtcdConnections;
      timer: Timer;
      timeout: Milliseconds;
      lifetime: Milliseconds;
    },
): Watch {
  const controller = new AbortController();
  let ended = false;
  let started = false;

  /** Ends the watch, and calls `onEnd` if `report` is true. */
  function finish(report: boolean, error?: StepError): void {
    if (ended) return;
    ended = true;
    cancelDeadline();
    cancelLifetime();
    removeListener();
    controller.abort();
    if (report) onEnd(error);
  }

  const fail = (message: string, cause?: unknown) =>
    finish(
      true,
      connections.fail(ErrorCode.StoreUnavailable, watchPath, message, cause),
    );

  function receive(line: string): void {
    const message = expectObject(JSON.parse(line));
    if (message.error !== undefined) return fail("the store reported an error");
    const result = expectObject(message.result);
    if (result.canceled === true) return fail("the store cancelled the watch");
    if (result.created === true && !started) {
      started = true;
      cancelDeadline();
      onStart?.();
    }
    const changes = decodeChanges(result)
      .filter((change) => change.key.startsWith(prefix));
    if (changes.length > 0 && !ended) onChange(changes);
  }

  async function run(): Promise<void> {
    const request = { create_request: encodePrefixRange(prefix) };
    const answer = await connections.openStream(
      watchPath,
      request,
      controller.signal,
    );
    if (answer.statusCode !== 200) {
      answer.body.on("error", () => {});
      return fail(
        `the store answered with status ${answer.statusCode}`,
      );
    }
    for await (const line of readLines(answer.body)) {
      if (ended) return;
      receive(line);
    }
    fail("the stream ended");
  }

  const cancelDeadline = timer.after(timeout, () => {
    fail(`the watch did not start within ${timeout} ms`);
    connections.replaceAll();
  });
  const cancelLifetime = timer.after(lifetime, () => finish(true));
  const removeListener = connections.onReplaced(() =>
    fail("the connections were replaced after a timeout")
  );
  run().catch((cause: unknown) => {
    if (ended) return;
    const malformed = cause instanceof SyntaxError ||
      cause instanceof StepError || cause instanceof TypeError;
    fail(
      malformed ? "a message was malformed" : "the stream broke",
      cause,
    );
  });
  return { stop: () => finish(false) };
}

/** Splits a stream of bytes into lines and leaves out empty ones. */
async function* readLines(
  stream: AsyncIterable<unknown>,
): AsyncGenerator<string> {
  const decoder = new StringDecoder("utf8");
  let rest = "";
  for await (const chunk of stream) {
    rest += decoder.write(chunk as Buffer);
    let end = rest.indexOf("\n");
    while (end >= 0) {
      if (end > 0) yield rest.slice(0, end);
      rest = rest.slice(end + 1);
      end = rest.indexOf("\n");
    }
    if (rest.length > maxMessageSize) throw new Error("a message is too large");
  }
}
