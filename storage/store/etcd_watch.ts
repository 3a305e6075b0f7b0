/**
 * Watches over the etcd v3 JSON gateway: one streamed answer for each.
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
/** One message holds the events of one transaction: 128 values at most. */
const maxMessageSize = 192 * MEBIBYTE;

/**
 * Starts a watch. It ends after `lifetime`, because a watch on a silent
 * connection looks like one without changes.
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
  let over = false;
  let started = false;

  /** Ends the watch once; without a report if the owner stopped it. */
  function finish(report: boolean, error?: StepError): void {
    if (over) return;
    over = true;
    cancelDeadline();
    cancelLifetime();
    forget();
    controller.abort();
    if (report) onEnd(error);
  }

  const lost = (message: string, cause?: unknown) =>
    finish(
      true,
      connections.fail(ErrorCode.StoreUnavailable, watchPath, message, cause),
    );

  function receive(line: string): void {
    const message = expectObject(JSON.parse(line));
    if (message.error !== undefined) return lost("the store ended the watch");
    const result = expectObject(message.result);
    if (result.canceled === true) return lost("the store cancelled the watch");
    if (result.created === true && !started) {
      started = true;
      cancelDeadline();
      onStart?.();
    }
    const changes = decodeChanges(result)
      .filter((change) => change.key.startsWith(prefix));
    if (changes.length > 0 && !over) onChange(changes);
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
      return lost(`status ${answer.statusCode}`);
    }
    for await (const line of readLines(answer.body)) {
      if (over) return;
      receive(line);
    }
    lost("the stream ended");
  }

  const cancelDeadline = timer.after(timeout, () => {
    lost(`not started within ${timeout} ms`);
    connections.replaceAll();
  });
  const cancelLifetime = timer.after(lifetime, () => finish(true));
  const forget = connections.onReplaced(() => lost("connections went silent"));
  run().catch((cause: unknown) => {
    if (over) return;
    const malformed = cause instanceof SyntaxError ||
      cause instanceof StepError || cause instanceof TypeError;
    lost(malformed ? "an event was malformed" : "the stream broke", cause);
  });
  return { stop: () => finish(false) };
}

/** Lines of a stream of bytes. */
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
    if (rest.length > maxMessageSize) throw new Error("an event is too large");
  }
}
